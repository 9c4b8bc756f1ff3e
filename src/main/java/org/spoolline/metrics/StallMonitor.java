package org.spoolline.metrics;

import java.util.Optional;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;

/**
 * Detects a leader that places nothing while jobs wait, and logs the reason as far as the leader knows it. To be called
 * regularly; the situation is inspected only once nothing was placed for {@link Constants.Logging#STALL_MS}, and at most
 * once in that time.
 */
public final class StallMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(StallMonitor.class);

    /** Why a leader places nothing. */
    public enum Reason {
        /** The live jobs could not be read under this fencing token. */
        JOBS_UNREAD,
        /** The leadership lease has expired: its renewals are not answered. */
        LEASE_EXPIRED,
        /** Scheduling cycles fail. */
        CYCLES_FAIL,
        /** Cycles run, but no plan can be made. */
        PLANS_FAIL,
        /** No machine that takes work sends heartbeats. */
        NO_SCHEDULABLE_MACHINE,
        /** The key-value store does not answer, or the rate limit of writes is reached. */
        WRITES_BLOCKED,
        /** Every waiting job waits for its dependencies. */
        UNSATISFIED_DEPENDENCIES,
        /** No machine has the capacity for a task that may run, or teams have reached their quotas. */
        NO_CAPACITY_OR_QUOTA
    }

    /**
     * What a leader sees.
     *
     * @param reason              the first reason that applies
     * @param waitingJobs         jobs with tasks that are not placed, including those that wait for dependencies
     * @param schedulableMachines machines that send heartbeats and take work
     * @param freeCores           cores of these machines that no stored attempt occupies
     */
    public record Situation(Reason reason, int waitingJobs, int schedulableMachines, double freeCores) {}

    private final EventLoop loop;
    private long lastPlacementAt;
    private long lastInspectedAt;
    private Optional<Situation> lastSituation = Optional.empty();

    /** A monitor that counts from now. */
    public StallMonitor(EventLoop loop) {
        this.loop = loop;
        beginTerm();
    }

    /** Begins a term. */
    public void beginTerm() {
        lastPlacementAt = loop.now();
        lastInspectedAt = loop.now();
        lastSituation = Optional.empty();
    }

    /** Records that a task was placed. */
    public void recordPlacement() {
        lastPlacementAt = loop.now();
        lastSituation = Optional.empty();
    }

    /** Inspects the situation if nothing was placed for too long, and logs it if jobs wait. */
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

    /** The situation at the last inspection; empty when a task was placed since, or no job waited. */
    public Optional<Situation> lastSituation() {
        return lastSituation;
    }
}
