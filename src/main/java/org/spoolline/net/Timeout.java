package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.spoolline.config.Constants;
import org.xnio.XnioExecutor;

/**
 * Ends a call after a time. A loop that was busy runs the timers that are due before it reads the responses that arrived in
 * the meantime, so that it gave up renewals of leadership that had long been answered. A timer that fires late therefore
 * lets the loop read from the network first, for as long as the loop was late.
 */
final class Timeout {
    private final XnioExecutor executor;
    private final Runnable onExpired;
    private XnioExecutor.Key key;

    /**
     * Starts the timeout.
     *
     * @param clockMs monotonic time in ms
     * @param onExpired runs on the executor, unless the timeout is cancelled before
     */
    Timeout(XnioExecutor executor, LongSupplier clockMs, long timeoutMs, Runnable onExpired) {
        this.executor = executor;
        this.onExpired = onExpired;
        long dueAt = clockMs.getAsLong() + timeoutMs;
        key = executor.executeAfter(() -> fire(clockMs.getAsLong() - dueAt), timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void fire(long lateMs) {
        if (lateMs <= Constants.Time.MARGIN_MS) {
            onExpired.run();
        } else {
            key = executor.executeAfter(
                    onExpired, Math.min(lateMs, Constants.Network.LATE_GRACE_MS), TimeUnit.MILLISECONDS);
        }
    }

    /** Keeps {@code onExpired} from running; without effect once it has run. */
    void cancel() {
        key.remove();
    }
}
