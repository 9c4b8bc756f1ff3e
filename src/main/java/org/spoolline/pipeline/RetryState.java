package org.spoolline.pipeline;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.config.Constants;

/**
 * What a job remembers of its failed tasks: when it may start tasks again, and on which machines it had better not.
 *
 * <p>Mutable and not safe for threads: it belongs to one {@link Pipeline}.
 */
final class RetryState {
    private int failures;
    private long notBefore;
    /** Machines on which tasks failed, the earliest failure first. */
    private final Set<String> avoidedMachines;

    /**
     * Continues the retries of a job.
     *
     * @param failures        number of failures so far
     * @param notBefore       time of day in ms from which tasks may start; 0 for any time
     * @param avoidedMachines in the order of their failures; owned by the state from now on
     */
    RetryState(int failures, long notBefore, LinkedHashSet<String> avoidedMachines) {
        this.failures = failures;
        this.notBefore = notBefore;
        this.avoidedMachines = avoidedMachines;
    }

    /** The state of a job of which no task has failed. */
    static RetryState empty() {
        return new RetryState(0, 0, new LinkedHashSet<>());
    }

    RetryState copy() {
        return new RetryState(failures, notBefore, new LinkedHashSet<>(avoidedMachines));
    }

    /** Backs off exponentially, up to a limit, and avoids the machine; the machine avoided longest may be used again. */
    void recordFailure(String machine, long timeOfDay) {
        int doublings = Math.min(failures, Constants.Job.FAILURE_BACKOFF_DOUBLINGS);
        failures++;
        notBefore = timeOfDay + (Constants.Job.FAILURE_BACKOFF_MS << doublings);
        avoidedMachines.add(machine);
        if (avoidedMachines.size() > Constants.Job.AVOIDED_MACHINES_MAX) {
            avoidedMachines.remove(avoidedMachines.iterator().next());
        }
    }

    /** Starts no task before the given time, without counting a failure. */
    void backOffUntil(long timeOfDay) {
        notBefore = Math.max(notBefore, timeOfDay);
    }

    int failures() {
        return failures;
    }

    long notBefore() {
        return notBefore;
    }

    boolean avoids(String machine) {
        return avoidedMachines.contains(machine);
    }

    /** A view of the avoided machines, the earliest failure first. */
    Set<String> avoidedMachines() {
        return Collections.unmodifiableSet(avoidedMachines);
    }
}
