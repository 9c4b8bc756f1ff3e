package org.spoolline.pipeline;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.config.Constants;

/**
 * The effect of a job's task failures and rejected launches on its next placements: the time from which tasks may
 * start again, and the machines to avoid.
 *
 * <p>Mutable and not thread-safe: each instance belongs to one {@link Pipeline}.
 */
final class RetryState {
    private int failures;
    private long notBefore;
    /** Machines on which tasks failed, the earliest failure first. */
    private final Set<String> avoidedMachines;

    /**
     * Restores the retry state of a job.
     *
     * @param failures        number of task failures so far
     * @param notBefore       time of day in ms from which tasks may start; 0 for any time
     * @param avoidedMachines in the order of their failures; owned by this object from now on
     */
    RetryState(int failures, long notBefore, LinkedHashSet<String> avoidedMachines) {
        this.failures = failures;
        this.notBefore = notBefore;
        this.avoidedMachines = avoidedMachines;
    }

    /** Returns the state of a job without task failures. */
    static RetryState empty() {
        return new RetryState(0, 0, new LinkedHashSet<>());
    }

    /**
     * Returns a state whose stored form is at least as long as that of any other.
     *
     * @param machineNameBytes length of the longest machine name, in bytes
     */
    static RetryState largest(int machineNameBytes) {
        LinkedHashSet<String> machines = new LinkedHashSet<>();
        String prefix = "m".repeat(Math.max(machineNameBytes, Constants.StoredValue.MACHINE_NAME_BYTES) - 1);
        for (int i = 0; i < Constants.Job.AVOIDED_MACHINES_MAX; i++) {
            machines.add(prefix + i);
        }
        return new RetryState(Integer.MAX_VALUE, Constants.StoredValue.LATEST_TIME_OF_DAY, machines);
    }

    RetryState copy() {
        return new RetryState(failures, notBefore, new LinkedHashSet<>(avoidedMachines));
    }

    /**
     * Delays the next start of a task by an exponential backoff, up to a limit, and avoids the machine. If there are
     * too many machines to avoid, the one avoided longest may be used again.
     */
    void recordFailure(String machine, long timeOfDay) {
        int doublings = Math.min(failures, Constants.Job.FAILURE_BACKOFF_DOUBLINGS);
        failures++;
        notBefore = timeOfDay + (Constants.Job.FAILURE_BACKOFF_MS << doublings);
        avoidedMachines.add(machine);
        if (avoidedMachines.size() > Constants.Job.AVOIDED_MACHINES_MAX) {
            avoidedMachines.remove(avoidedMachines.iterator().next());
        }
    }

    /** Starts no task before the given time of day in ms, without counting a failure. */
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

    /** Length in bytes of the longest name of an avoided machine; 0 if there is none. */
    int longestMachineName() {
        int longest = 0;
        for (String machine : avoidedMachines) {
            longest = Math.max(longest, MachineName.bytes(machine));
        }
        return longest;
    }

    /** A view of the avoided machines, the earliest failure first. */
    Set<String> avoidedMachines() {
        return Collections.unmodifiableSet(avoidedMachines);
    }
}
