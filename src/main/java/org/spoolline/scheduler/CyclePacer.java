package org.spoolline.scheduler;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Decides when the next scheduling cycle runs. Cycles widen with the number of values that the last one changed. The first
 * one of a term is put off while the loop is late, for up to one heartbeat interval: what comes late then are the first
 * heartbeats of workers whose leases run out, and without them a cycle knows of no machine.
 */
final class CyclePacer {
    private final EventLoop loop;
    private final Settings settings;
    private final Runnable cycle;
    private boolean scheduled;
    private long mayPutOffUntil;

    CyclePacer(EventLoop loop, Settings settings, Runnable cycle) {
        this.loop = loop;
        this.settings = settings;
        this.cycle = cycle;
        this.mayPutOffUntil = loop.now();
    }

    /** A term begins. */
    void begin() {
        mayPutOffUntil = loop.now() + settings.workers().heartbeatMs();
    }

    /** Has a cycle run soon, unless one is to run already. {@code lastBatch} is how many values the last one changed. */
    void request(int lastBatch) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        double load = Math.min(1.0, (double) lastBatch / Constants.Cycle.CYCLE_FULL_BATCH);
        long narrowest = settings.operator().cycleMinMs();
        long width = narrowest + (long) (load * (settings.operator().cycleMaxMs() - narrowest));
        schedule(width);
    }

    private void schedule(long delayMs) {
        long dueAt = loop.now() + delayMs;
        loop.after(delayMs, () -> runOrPutOff(loop.now() - dueAt));
    }

    private void runOrPutOff(long lateMs) {
        if (lateMs > Constants.Cycle.CYCLE_LATE_MS && loop.now() < mayPutOffUntil) {
            schedule(lateMs);
            return;
        }
        scheduled = false;
        mayPutOffUntil = loop.now();
        cycle.run();
    }
}
