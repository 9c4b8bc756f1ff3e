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
    private final Map<String, Set<AttemptId>> launchedLast = new HashMap<>();

    GangLaunchOrder(JobTable jobs, TaskPhases phases) {
        this.jobs = jobs;
        this.phases = phases;
    }

    /** Forgets the gangs of an earlier term. */
    void clear() {
        launchedLast.clear();
    }

    /** Records a placed gang: these of its tasks are on machines that have the image. */
    void launchAfterPeers(String jobId, Set<AttemptId> withImage) {
        launchedLast.put(jobId, withImage);
    }

    /** Forgets a gang that has reached a terminal state. */
    void forget(String jobId) {
        launchedLast.remove(jobId);
    }

    /** False while the task is not to be launched yet, because members without their image are still fetching it. */
    boolean mayLaunch(AttemptId attemptId) {
        Set<AttemptId> withImage = launchedLast.get(attemptId.jobId());
        if (withImage == null || !withImage.contains(attemptId)) {
            return true;
        }
        JobEntry entry = jobs.get(attemptId.jobId());
        return entry == null || !anyFetchesImage(entry, withImage);
    }

    private boolean anyFetchesImage(JobEntry gang, Set<AttemptId> withImage) {
        String jobId = gang.committed().jobId();
        for (Attempt attempt : gang.committed().attempts()) {
            if (!withImage.contains(AttemptId.of(jobId, attempt))
                    && phases.lastReported(jobId, attempt) == TaskStatus.Phase.FETCHING_IMAGE) {
                return true;
            }
        }
        return false;
    }
}
