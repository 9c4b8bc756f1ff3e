package org.spoolline.metrics;

import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;

/**
 * Notices a leader that starts nothing while jobs wait, and says why as far as the leader knows. Asked regularly; the
 * situation is looked at only once nothing was placed for {@link Constants.Logging#STALL_MS}, and at most once in that time.
 */
public final class StallMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(StallMonitor.class);

    /** What a leader without starts knows of its reasons. */
    public enum Reason {
        /** The live pipelines could not be read under this token. */
        JOBS_UNREAD,
        /** Leadership has lapsed: its renewals are not answered. */
        LEASE_EXPIRED,
        /** Scheduling cycles fail. */
        CYCLES_FAIL,
        /** Cycles run, but no plan can be made. */
        PLANS_FAIL,
        /** No machine reports. */
        NO_SCHEDULABLE_MACHINE,
        /** The state service does not answer, or the budget for changes is spent. */
        WRITES_BLOCKED,
        /** Every waiting job waits for other jobs. */
        UNSATISFIED_DEPENDENCIES,
        /** No machine has room for a task that may run, or teams are at their limits. */
        NO_CAPACITY_OR_QUOTA
    }

    /**
     * What a leader sees.
     *
     * @param reason        the first reason that applies
     * @param waitingJobs   jobs with tasks that are not placed; those that wait for other jobs count too
     * @param schedulableMachines machines that report and take work
     * @param freeCores     cores on them that no stored attempt takes
     */
    public record Situation(Reason reason, int waitingJobs, int schedulableMachines, double freeCores) {}

    private final EventLoop loop;
    private long progressAt;
    private long checkedAt;
    private Situation last;

    /** A monitor that counts from now. */
    public StallMonitor(EventLoop loop) {
        this.loop = loop;
        begin();
    }

    /** A term begins. */
    public void begin() {
        progressAt = loop.now();
        checkedAt = loop.now();
        last = null;
    }

    /** Something was placed. */
    public void progress() {
        progressAt = loop.now();
        last = null;
    }

    /** Looks at the situation if nothing was placed for too long. */
    public void check(Supplier<Situation> look) {
        long now = loop.now();
        if (now - Math.max(progressAt, checkedAt) < Constants.Logging.STALL_MS) {
            return;
        }
        checkedAt = now;
        Situation seen = look.get();
        last = seen.waitingJobs() == 0 ? null : seen;
        if (last != null) {
            LOG.warn(
                    "no task was placed for {} s: {}; {} jobs wait, {} machines are usable, {} cores on them are free",
                    (now - progressAt) / 1000,
                    seen.reason(),
                    seen.waitingJobs(),
                    seen.schedulableMachines(),
                    Math.round(seen.freeCores()));
        }
    }

    /** What was seen at the last look, or null when something was placed since or nothing waits. */
    public Situation lastSeen() {
        return last;
    }
}
