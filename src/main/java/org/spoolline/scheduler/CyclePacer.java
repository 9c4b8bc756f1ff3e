package org.spoolline.scheduler;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Determines when scheduling cycles run. The delay of a cycle grows with the number of values that the last cycle had
 * to write.
 *
 * <p>While the event loop runs late, the first cycle of a term is deferred for up to one heartbeat interval. The
 * delayed events then include the first heartbeats of workers whose leases are about to expire, and a cycle that runs
 * before them would know no machine.
 */
final class CyclePacer {
    private final EventLoop loop;
    private final Settings settings;
    private final Runnable cycle;
    private boolean cycleScheduled;
    private long deferralDeadline;

    CyclePacer(EventLoop loop, Settings settings, Runnable cycle) {
        this.loop = loop;
        this.settings = settings;
        this.cycle = cycle;
        this.deferralDeadline = loop.now();
    }

    /** Starts a term, whose first cycle may be deferred for up to one heartbeat interval. */
    void beginTerm() {
        deferralDeadline = loop.now() + settings.workers().heartbeatMs();
    }

    /**
     * Schedules a cycle unless one is already scheduled.
     *
     * @param lastWriteCount number of values that the last cycle had to write
     */
    void request(int lastWriteCount) {
        if (cycleScheduled) {
            return;
        }
        cycleScheduled = true;
        double load = Math.min(1.0, (double) lastWriteCount / Constants.Cycle.CYCLE_FULL_LOAD_WRITES);
        long minMs = settings.operator().cycleMinMs();
        long maxMs = settings.operator().cycleMaxMs();
        schedule(minMs + (long) (load * (maxMs - minMs)));
    }

    private void schedule(long delayMs) {
        long dueAtMs = loop.now() + delayMs;
        loop.after(delayMs, () -> runOrDefer(loop.now() - dueAtMs));
    }

    private void runOrDefer(long latenessMs) {
        if (latenessMs > Constants.Cycle.CYCLE_LATE_MS && loop.now() < deferralDeadline) {
            schedule(latenessMs);
            return;
        }
        cycleScheduled = false;
        deferralDeadline = loop.now();
        cycle.run();
    }
}
