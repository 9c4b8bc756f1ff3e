package org.spoolline.scheduler;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Decides when the next scheduling cycle runs: the later, the more values the last one had to write. The first cycle of a
 * term is deferred while the event loop is late, for up to one heartbeat interval: the events that are late then include
 * the first heartbeats of workers whose leases expire, and without them a cycle knows of no machine.
 */
final class CyclePacer {
    private final EventLoop loop;
    private final Settings settings;
    private final Runnable cycle;
    private boolean scheduled;
    private long mayDeferUntil;

    CyclePacer(EventLoop loop, Settings settings, Runnable cycle) {
        this.loop = loop;
        this.settings = settings;
        this.cycle = cycle;
        this.mayDeferUntil = loop.now();
    }

    /** Begins a term. */
    void begin() {
        mayDeferUntil = loop.now() + settings.workers().heartbeatMs();
    }

    /**
     * Schedules a cycle, unless one is scheduled already.
     *
     * @param lastWriteCount number of values that the last cycle had to write
     */
    void request(int lastWriteCount) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        double load = Math.min(1.0, (double) lastWriteCount / Constants.Cycle.CYCLE_FULL_LOAD_WRITES);
        long minMs = settings.operator().cycleMinMs();
        long maxMs = settings.operator().cycleMaxMs();
        schedule(minMs + (long) (load * (maxMs - minMs)));
    }

    private void schedule(long delayMs) {
        long dueAt = loop.now() + delayMs;
        loop.after(delayMs, () -> runOrDefer(loop.now() - dueAt));
    }

    private void runOrDefer(long lateMs) {
        if (lateMs > Constants.Cycle.CYCLE_LATE_MS && loop.now() < mayDeferUntil) {
            schedule(lateMs);
            return;
        }
        scheduled = false;
        mayDeferUntil = loop.now();
        cycle.run();
    }
}
