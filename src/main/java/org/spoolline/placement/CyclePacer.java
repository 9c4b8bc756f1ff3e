package org.spoolline.placement;

import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;

/**
 * Decides when the next scheduling cycle runs. Cycles widen with the number of values that the last one changed. The first
 * one of a term is put off while the loop is late, for up to one heartbeat interval: what comes late then are the first
 * heartbeats of workers whose leases run out, and without them a cycle knows of no machine.
 */
final class CyclePacer {
    private final Loop loop;
    private final Settings settings;
    private final Runnable cycle;
    private boolean scheduled;
    private long mayPutOffUntil;

    CyclePacer(Loop loop, Settings settings, Runnable cycle) {
        this.loop = loop;
        this.settings = settings;
        this.cycle = cycle;
        this.mayPutOffUntil = loop.now();
    }

    /** A term begins. */
    void begin() {
        mayPutOffUntil = loop.now() + settings.workers().reportMs();
    }

    /** Has a cycle run soon, unless one is to run already. {@code lastBatch} is how many values the last one changed. */
    void request(int lastBatch) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        double load = Math.min(1.0, (double) lastBatch / Constants.CYCLE_FULL_BATCH);
        long narrowest = settings.operator().cycleMinMs();
        long width = narrowest + (long) (load * (settings.operator().cycleMaxMs() - narrowest));
        schedule(width);
    }

    private void schedule(long delayMs) {
        long dueAt = loop.now() + delayMs;
        loop.after(delayMs, () -> runOrPutOff(loop.now() - dueAt));
    }

    private void runOrPutOff(long lateMs) {
        if (lateMs > Constants.CYCLE_LATE_MS && loop.now() < mayPutOffUntil) {
            schedule(lateMs);
            return;
        }
        scheduled = false;
        mayPutOffUntil = loop.now();
        cycle.run();
    }
}
