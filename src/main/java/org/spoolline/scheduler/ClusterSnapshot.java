package org.spoolline.scheduler;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * The input of one planning pass. Planners read it and change nothing in it.
 *
 * @param jobs                   live pipelines as they stand after this cycle's reconciliation
 * @param pendingWriteAttempts   by job id, for jobs whose write is in flight: the attempts of the committed and of the
 *                               proposed pipeline, since either set may occupy capacity
 * @param placeableJobs              ids of the jobs that may be changed in this cycle
 * @param machinesByName         every machine known, by name
 * @param schedulableMachines            machines that accept launches now
 * @param reservedJobsByMachine            by machine name: the id of the job that the machine is being cleared for
 * @param gangsPreemptedForImage ids of the gangs that machines with their image were already cleared for; this happens
 *                               once for each gang
 * @param inheritedPriorities    by job id, for jobs that others depend on: the highest priority among the dependents
 * @param machineTypes                  machine types by name
 * @param mayConsolidate         true when the tasks of the last consolidation have had time to move
 * @param timeOfDay              wall-clock time in ms, as in the jobs' times
 * @param now                    the event loop's steady clock in ms, as in the machines' times
 */
record ClusterSnapshot(
        List<Pipeline> jobs,
        Map<String, List<Attempt>> pendingWriteAttempts,
        Set<String> placeableJobs,
        Map<String, Machine> machinesByName,
        List<Machine> schedulableMachines,
        Map<String, String> reservedJobsByMachine,
        Set<String> gangsPreemptedForImage,
        Map<String, Submission.Priority> inheritedPriorities,
        Map<String, MachineType> machineTypes,
        Settings settings,
        boolean mayConsolidate,
        long timeOfDay,
        long now) {

    /** Attempts of the job that occupy capacity, or may do so. */
    Collection<Attempt> occupyingAttempts(Pipeline job) {
        List<Attempt> ofPendingWrite = pendingWriteAttempts.get(job.jobId());
        return ofPendingWrite == null ? job.attempts() : ofPendingWrite;
    }

    /** True for a gang of which some members are placed already, so that only the others need machines. */
    boolean isPartlyPlacedGang(Pipeline job) {
        return job.spec().gang() && !occupyingAttempts(job).isEmpty();
    }

    /** True when machines are being cleared for the job. */
    boolean hasReservation(Pipeline job) {
        return reservedJobsByMachine.containsValue(job.jobId());
    }

    /** The job's own priority or the highest one among the jobs that depend on it, whichever is higher. */
    Submission.Priority priority(Pipeline job) {
        Submission.Priority own = job.spec().priority();
        Submission.Priority ofDependents = inheritedPriorities.getOrDefault(job.jobId(), own);
        return ofDependents.compareTo(own) > 0 ? ofDependents : own;
    }

    /**
     * Cores requested by the jobs released during the last {@link Constants.Placement#RECENT_DEMAND_MS}. That much
     * capacity is kept free, so that the next jobs needn't wait for machines to boot.
     */
    static double recentlyRequestedCores(Collection<Pipeline> jobs, long timeOfDay) {
        return jobs.stream()
                .filter(job -> job.eligibleAt() > timeOfDay - Constants.Placement.RECENT_DEMAND_MS)
                .mapToDouble(job -> job.spec().cores() * job.spec().tasks())
                .sum();
    }
}
