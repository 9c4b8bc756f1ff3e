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
 * The input of one planning pass. The planners do not modify it.
 *
 * @param jobs                   pipelines of the live jobs, as changed by this cycle's reconciliation
 * @param pendingWriteAttempts   by job id, for jobs whose write is in flight: the attempts of the committed and of the
 *                               proposed pipeline, since either set may occupy capacity
 * @param placeableJobs          ids of the jobs whose tasks may be placed in this cycle
 * @param gangsToPack            ids of the gangs that have to be placed on few machines, since their attempts on many
 *                               would not fit their value
 * @param machinesByName         all known machines by name, including those that accept no launches
 * @param schedulableMachines    machines that currently accept launches
 * @param reservedJobsByMachine  by machine name: the id of the job that the machine is reserved for
 * @param gangsPreemptedForImage ids of the gangs for which machines with their image have been cleared by preemption,
 * at most once for each gang
 * @param inheritedPriorities    by job id, for jobs with dependents: the highest priority among the dependents
 * @param machineTypes           machine types by name
 * @param mayConsolidate         true when enough time has passed since the last consolidation for its tasks to move
 * @param timeOfDay              time of day in ms, comparable with the times of jobs
 * @param now                    the event loop's monotonic clock in ms, comparable with the times of machines
 */
record ClusterSnapshot(
        List<Pipeline> jobs,
        Map<String, List<Attempt>> pendingWriteAttempts,
        Set<String> placeableJobs,
        Set<String> gangsToPack,
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

    /** The job's attempts that occupy capacity or, while a write is in flight, may occupy it. */
    Collection<Attempt> occupyingAttempts(Pipeline job) {
        List<Attempt> ofPendingWrite = pendingWriteAttempts.get(job.jobId());
        return ofPendingWrite == null ? job.attempts() : ofPendingWrite;
    }

    /** True for a gang with at least one placed member: only its missing members need machines. */
    boolean isPartlyPlacedGang(Pipeline job) {
        return job.spec().gang() && !occupyingAttempts(job).isEmpty();
    }

    /** True when machines are reserved for the job. */
    boolean hasReservation(Pipeline job) {
        return reservedJobsByMachine.containsValue(job.jobId());
    }

    /** The higher of the job's own priority and the highest priority among its dependents. */
    Submission.Priority priority(Pipeline job) {
        Submission.Priority own = job.spec().priority();
        Submission.Priority ofDependents = inheritedPriorities.getOrDefault(job.jobId(), own);
        return ofDependents.compareTo(own) > 0 ? ofDependents : own;
    }

    /**
     * Cores requested by the jobs that became eligible during the last {@link Constants.Placement#RECENT_DEMAND_MS}. As
     * much capacity is kept free, so that the next jobs don't have to wait for machines to boot.
     */
    static double recentlyRequestedCores(Collection<Pipeline> jobs, long timeOfDay) {
        return jobs.stream()
                .filter(job -> job.eligibleAt() > timeOfDay - Constants.Placement.RECENT_DEMAND_MS)
                .mapToDouble(job -> job.spec().cores() * job.spec().tasks())
                .sum();
    }
}
