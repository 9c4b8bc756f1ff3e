package org.spoolline.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.spoolline.config.Constants;
import org.xnio.XnioExecutor;

/**
 * Gives a call up after its time. A loop that is late itself meets its timers before the answers that came in time: it
 * once gave up renewals of leadership that had long been answered. So a timer that fires late looks at the network once
 * more, for as long as the loop was late.
 */
final class Timeout {
    private final XnioExecutor executor;
    private final Runnable expired;
    private XnioExecutor.Key key;

    Timeout(XnioExecutor executor, LongSupplier clockMs, long timeoutMs, Runnable expired) {
        this.executor = executor;
        this.expired = expired;
        long due = clockMs.getAsLong() + timeoutMs;
        key = executor.executeAfter(() -> fire(clockMs.getAsLong() - due), timeoutMs, TimeUnit.MILLISECONDS);
    }

    private void fire(long lateMs) {
        if (lateMs <= Constants.Time.MARGIN_MS) {
            expired.run();
        } else {
            key = executor.executeAfter(
                    expired, Math.min(lateMs, Constants.Network.LATE_GRACE_MS), TimeUnit.MILLISECONDS);
        }
    }

    void cancel() {
        key.remove();
    }
}
