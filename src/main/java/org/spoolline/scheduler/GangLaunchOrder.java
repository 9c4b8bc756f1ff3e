package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.job.JobTable;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/**
 * The order in which a gang's tasks are launched. One that finds its image at hand would wait for the others and give up
 * after gang_wait_s, which a fetch can exceed; it is launched once all who fetch have their image.
 */
final class GangLaunchOrder {
    private final JobTable jobs;
    private final AttemptReconciler reconciler;
    /** Gang tasks whose machine has the image, while others of the gang have to fetch it, by job. */
    private final Map<String, Set<AttemptId>> afterPeers = new HashMap<>();

    GangLaunchOrder(JobTable jobs, AttemptReconciler reconciler) {
        this.jobs = jobs;
        this.reconciler = reconciler;
    }

    /** A new term knows of no order. */
    void clear() {
        afterPeers.clear();
    }

    /** The gang was placed; these of its tasks have their image at hand. */
    void launchAfterPeers(String jobId, Set<AttemptId> imageAtHand) {
        afterPeers.put(jobId, imageAtHand);
    }

    /** The gang is over. */
    void forget(String jobId) {
        afterPeers.remove(jobId);
    }

    /** False while the task had better not be launched yet. */
    boolean mayLaunch(AttemptId attemptId) {
        Set<AttemptId> late = afterPeers.get(attemptId.jobId());
        JobTable.Entry entry = jobs.get(attemptId.jobId());
        if (late == null || entry == null || !late.contains(attemptId)) {
            return true;
        }
        for (Attempt attempt : entry.committed().attempts()) {
            AttemptId other = AttemptId.of(attemptId.jobId(), attempt);
            if (!late.contains(other) && reconciler.phase(other, attempt) == TaskStatus.Phase.FETCHING_IMAGE) {
                return false;
            }
        }
        return true;
    }
}
