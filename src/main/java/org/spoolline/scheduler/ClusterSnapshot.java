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
 * Everything a plan is made from.
 *
 * @param jobs        live pipelines as they will stand after this cycle's evidence
 * @param holding     attempts that occupy room, by job; for a job whose write is in flight, old and new ones
 * @param placeable   ids of jobs that may be changed in this cycle
 * @param reserved   machines that are being cleared, with the job they are cleared for
 * @param preemptedForImage        ids of gangs for which machines with their image have been cleared, once each
 * @param inheritedPriorities   the highest priority among the waiting jobs that need a job, for those that are needed
 * @param schedulable      machines that take work now
 * @param mayConsolidate   true when machines emptied in favour of others have had the time to be
 */
public record ClusterSnapshot(
        List<Pipeline> jobs,
        Map<String, List<Attempt>> holding,
        Set<String> placeable,
        Map<String, Machine> machines,
        List<Machine> schedulable,
        Map<String, String> reserved,
        Set<String> preemptedForImage,
        Map<String, Submission.Priority> inheritedPriorities,
        Map<String, MachineType> types,
        Settings settings,
        boolean mayConsolidate,
        long timeOfDay,
        long now) {

    /** Attempts of the job that occupy room. */
    Collection<Attempt> held(Pipeline job) {
        List<Attempt> union = holding.get(job.jobId());
        return union == null ? job.attempts() : union;
    }

    /** A job that others wait for counts as urgent as the most urgent of them. */
    Submission.Priority priority(Pipeline job) {
        Submission.Priority own = job.spec().priority();
        Submission.Priority ofDependents = inheritedPriorities.getOrDefault(job.jobId(), own);
        return ofDependents.compareTo(own) > 0 ? ofDependents : own;
    }

    /** Cores that the jobs released lately have asked for: room for as much is kept free. */
    static double recentlyRequestedCores(Collection<Pipeline> jobs, long timeOfDay) {
        return jobs.stream()
                .filter(p -> p.eligibleAt() > timeOfDay - Constants.Placement.RECENT_DEMAND_MS)
                .mapToDouble(p -> p.spec().cores() * p.spec().tasks())
                .sum();
    }
}
