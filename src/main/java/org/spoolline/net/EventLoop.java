package org.spoolline.net;

/**
 * The one thread on which a node reads and changes all of its state, with its clocks. Simulations replace it by one with
 * virtual time.
 */
public interface EventLoop {
    /** Monotonic time in ms; only differences between two readings mean anything. */
    long now();

    /** Time of day in ms since the epoch; it may be wrong by as much as the settings allow. */
    long timeOfDay();

    /** Runs {@code task} on the loop after {@code delayMs} or somewhat later; with 0 or less, as soon as possible. */
    void after(long delayMs, Runnable task);
}
