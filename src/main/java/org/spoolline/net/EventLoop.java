package org.spoolline.net;

/** The one thread that owns every decision, with its clocks. Stories replace it with a simulated one. */
public interface EventLoop {
    /** Steady time in milliseconds; only differences mean anything. */
    long now();

    /** Time of day in milliseconds since the epoch, off by at most the settings' bound. */
    long timeOfDay();

    /** Runs {@code task} on the loop after {@code delayMs}. */
    void after(long delayMs, Runnable task);
}
