package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.spoolline.config.Constants;
import org.spoolline.config.NetworkConstants;
import org.xnio.XnioExecutor;

/**
 * Timeout of a call, or of a request body. After a period in which it was busy, the event loop runs the timers that are due before it reads
 * the responses that arrived in the meantime. It would then time out calls that have already been answered, such as
 * renewals of the leadership lease. A timer that fires late by more than a margin is therefore extended by the
 * time it was late, up to a limit, so that the loop reads from the network first.
 */
final class Timeout {
    private final XnioExecutor executor;
    private final Runnable onExpired;
    private XnioExecutor.Key key;

    /**
     * Starts the timeout.
     *
     * @param clockMs returns the monotonic time in ms
     * @param onExpired runs on the executor when the timeout expires, unless the timeout was cancelled
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
                    onExpired, Math.min(lateMs, NetworkConstants.LATE_GRACE_MS), TimeUnit.MILLISECONDS);
        }
    }

    /** Prevents {@code onExpired} from running; has no effect if it has already run. */
    void cancel() {
        key.remove();
    }
}
