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
 * The order in which a gang's tasks are launched. A task whose machine has the image would wait for the others and give up
 * after gang_wait_s, which a fetch can exceed; so it is launched once all members that fetch have their image.
 */
final class GangLaunchOrder {
    private final JobTable jobs;
    private final TaskPhases phases;
    /** Gang tasks whose machine has the image, which are launched after the others, by job. */
    private final Map<String, Set<AttemptId>> membersLaunchedLast = new HashMap<>();

    GangLaunchOrder(JobTable jobs, TaskPhases phases) {
        this.jobs = jobs;
        this.phases = phases;
    }

    /** Forgets the gangs of an earlier term. */
    void clear() {
        membersLaunchedLast.clear();
    }

    /** Records a placed gang: these of its tasks are on machines that have the image. */
    void launchLast(String jobId, Set<AttemptId> membersWithImage) {
        membersLaunchedLast.put(jobId, membersWithImage);
    }

    /** Forgets a gang that has reached a terminal state. */
    void forget(String jobId) {
        membersLaunchedLast.remove(jobId);
    }

    /** False while the task is not to be launched yet, because members without their image are still fetching it. */
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
