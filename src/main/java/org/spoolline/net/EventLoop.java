package org.spoolline.net;

/**
 * The single thread on which a node reads and changes all of its state, and the clocks of that node. Simulations
 * implement it with virtual time.
 */
public interface EventLoop {
    /** Returns the monotonic time in ms; only differences between two readings are meaningful. */
    long now();

    /** Returns the time of day in ms since the epoch, with a clock error within the bound given by the settings. */
    long timeOfDay();

    /**
     * Runs {@code task} on the loop no earlier than after {@code delayMs}; as soon as possible if that is 0 or less.
     */
    void after(long delayMs, Runnable task);
}
