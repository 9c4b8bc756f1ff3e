package org.spoolline.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.fleet.MachineType;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.workers.Machine;

/**
 * Everything a plan is made from.
 *
 * @param jobs        live pipelines as they will stand after this cycle's evidence
 * @param holding     attempts that occupy room, by job; for a job whose write is in flight, old and new ones
 * @param placeable   ids of jobs that may be changed in this cycle
 * @param reserved   machines that are being cleared, with the job they are cleared for
 * @param warm        ids of gangs for which machines with their image have been cleared, once each
 * @param inherited   the highest priority among the waiting jobs that need a job, for those that are needed
 * @param usable      machines that take work now
 * @param mayEvacuate   true when machines emptied in favour of others have had the time to be
 */
public record ClusterSnapshot(
        List<Pipeline> jobs,
        Map<String, List<Attempt>> holding,
        Set<String> placeable,
        Map<String, Machine> machines,
        List<Machine> usable,
        Map<String, String> reserved,
        Set<String> warm,
        Map<String, Submission.Priority> inherited,
        Map<String, MachineType> types,
        Settings settings,
        boolean mayEvacuate,
        long timeOfDay,
        long now) {

    /** Attempts of the job that occupy room. */
    Collection<Attempt> held(Pipeline job) {
        List<Attempt> union = holding.get(job.uid());
        return union == null ? job.attempts() : union;
    }

    /** A job that others wait for counts as urgent as the most urgent of them. */
    Submission.Priority priority(Pipeline job) {
        Submission.Priority own = job.spec().priority();
        Submission.Priority ofDependents = inherited.getOrDefault(job.uid(), own);
        return ofDependents.compareTo(own) > 0 ? ofDependents : own;
    }

    /** Cores that the jobs released lately have asked for: room for as much is kept free. */
    static double askedCores(Collection<Pipeline> jobs, long timeOfDay) {
        return jobs.stream()
                .filter(p -> p.releasedAt() > timeOfDay - Constants.ASKED_MS)
                .mapToDouble(p -> p.spec().cores() * p.spec().tasks())
                .sum();
    }
}
