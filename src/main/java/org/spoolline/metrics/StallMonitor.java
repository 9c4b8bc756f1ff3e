package org.spoolline.metrics;

import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;

/**
 * Detects that the leader places no task while jobs wait, and logs the reason as far as the leader's own state shows
 * it. The method {@link #check} must be called regularly. It inspects the situation only if no task has been placed for
 * {@link Constants.Logging#STALL_MS}, and at most once per such period.
 */
public final class StallMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(StallMonitor.class);

    /** Reason for which a leader places no task. */
    public enum Reason {
        /** The leader has not been able to read the live jobs in the current term. */
        JOBS_UNREAD,
        /** The leadership lease has expired because its renewals got no response. */
        LEASE_EXPIRED,
        /** Scheduling cycles fail. */
        CYCLES_FAIL,
        /** Scheduling cycles run, but their planning step fails. */
        PLANS_FAIL,
        /** No machine that accepts work sends heartbeats. */
        NO_SCHEDULABLE_MACHINE,
        /** The key-value store does not respond, or the write rate limit is exhausted. */
        WRITES_BLOCKED,
        /** All waiting jobs have unsatisfied dependencies. */
        UNSATISFIED_DEPENDENCIES,
        /**
         * No machine has capacity for any eligible task, or the teams of the waiting jobs have reached their quotas.
         */
        NO_CAPACITY_OR_QUOTA
    }

    /**
     * The situation of a stalled leader.
     *
     * @param reason              the first reason that applies
     * @param waitingJobs         jobs with unplaced tasks, including those with unsatisfied dependencies
     * @param schedulableMachines machines that send heartbeats and accept work
     * @param freeCores           cores of these machines that no stored attempt uses
     */
    public record Situation(Reason reason, int waitingJobs, int schedulableMachines, double freeCores) {}

    private final EventLoop loop;
    private long lastPlacementAt;
    private long lastInspectedAt;
    private Optional<Situation> lastSituation = Optional.empty();

    /** Creates a monitor whose stall time starts now. */
    public StallMonitor(EventLoop loop) {
        this.loop = loop;
        beginTerm();
    }

    /** Starts a term: the stall time starts from zero and the last situation is discarded. */
    public void beginTerm() {
        lastPlacementAt = loop.now();
        lastInspectedAt = loop.now();
        lastSituation = Optional.empty();
    }

    /** Records that a task was placed, which resets the stall time. */
    public void recordPlacement() {
        lastPlacementAt = loop.now();
        lastSituation = Optional.empty();
    }

    /** Inspects the situation if no task has been placed for the stall time, and logs it if jobs are waiting. */
    public void check(Supplier<Situation> inspection) {
        long now = loop.now();
        if (now - Math.max(lastPlacementAt, lastInspectedAt) < Constants.Logging.STALL_MS) {
            return;
        }
        lastInspectedAt = now;
        Situation situation = inspection.get();
        if (situation.waitingJobs() == 0) {
            lastSituation = Optional.empty();
            return;
        }
        lastSituation = Optional.of(situation);
        LOG.warn(
                "No task placed: reason={} duration_s={} waiting_jobs={} schedulable_machines={} free_cores={}",
                situation.reason(),
                (now - lastPlacementAt) / 1000,
                situation.waitingJobs(),
                situation.schedulableMachines(),
                Math.round(situation.freeCores()));
    }

    /** Returns the situation at the last inspection; empty if no job was waiting or a task has been placed since. */
    public Optional<Situation> lastSituation() {
        return lastSituation;
    }
}
