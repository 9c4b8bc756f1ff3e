package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.reconcile.TaskPhases;

/**
 * Decides the order in which a gang's tasks are launched. A task exits when its gang is not complete within
 * gang_wait_s, and an image fetch can take longer than that. Tasks on machines that have the image are therefore
 * launched only after the other members have fetched it.
 */
final class GangLaunchOrder {
    private final JobTable jobs;
    private final TaskPhases phases;
    /** By job id: the members on machines that had the image at placement; they are launched after the others. */
    private final Map<String, Set<AttemptId>> membersLaunchedLast = new HashMap<>();

    GangLaunchOrder(JobTable jobs, TaskPhases phases) {
        this.jobs = jobs;
        this.phases = phases;
    }

    /** Removes all gangs; to be called at the start of a term. */
    void clear() {
        membersLaunchedLast.clear();
    }

    /** Records which members of a placed gang are on machines with the image, so that they are launched last. */
    void launchLast(String jobId, Set<AttemptId> membersWithImage) {
        membersLaunchedLast.put(jobId, membersWithImage);
    }

    /** Removes a gang that has reached a terminal state. */
    void removeJob(String jobId) {
        membersLaunchedLast.remove(jobId);
    }

    /** False for a task on a machine with the image while other members of its gang are still fetching it. */
    boolean mayLaunch(AttemptId attemptId) {
        Set<AttemptId> membersWithImage = membersLaunchedLast.get(attemptId.jobId());
        if (membersWithImage == null || !membersWithImage.contains(attemptId)) {
            return true;
        }
        JobEntry entry = jobs.get(attemptId.jobId());
        return entry == null || !anyMemberFetchesImage(entry, membersWithImage);
    }

    private boolean anyMemberFetchesImage(JobEntry gang, Set<AttemptId> membersWithImage) {
        String jobId = gang.committed().jobId();
        for (Attempt attempt : gang.committed().attempts()) {
            if (!membersWithImage.contains(AttemptId.of(jobId, attempt))
                    && phases.lastReported(jobId, attempt) == TaskStatus.Phase.FETCHING_IMAGE) {
                return true;
            }
        }
        return false;
    }
}
