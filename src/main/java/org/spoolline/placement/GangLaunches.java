package org.spoolline.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.spoolline.pipeline.Attempt;
import org.spoolline.workers.Machine;
import org.spoolline.workers.TaskReport;

/**
 * The order in which a gang's tasks are launched. One that finds its image at hand would wait for the others and give up
 * after gang_wait_s, which a fetch can exceed; it is launched once all who fetch have their image.
 */
final class GangLaunches {
    private final JobTable jobs;
    private final AttemptEvaluator evaluator;
    /** Gang tasks whose machine has the image, while others of the gang have to fetch it, by job. */
    private final Map<String, Set<Machine.Start>> afterPeers = new HashMap<>();

    GangLaunches(JobTable jobs, AttemptEvaluator evaluator) {
        this.jobs = jobs;
        this.evaluator = evaluator;
    }

    /** A new term knows of no order. */
    void clear() {
        afterPeers.clear();
    }

    /** The gang was placed; these of its tasks have their image at hand. */
    void launchAfterPeers(String uid, Set<Machine.Start> imageAtHand) {
        afterPeers.put(uid, imageAtHand);
    }

    /** The gang is over. */
    void forget(String uid) {
        afterPeers.remove(uid);
    }

    /** False while the task had better not be launched yet. */
    boolean mayLaunch(Machine.Start start) {
        Set<Machine.Start> late = afterPeers.get(start.uid());
        JobTable.Entry entry = jobs.get(start.uid());
        if (late == null || entry == null || !late.contains(start)) {
            return true;
        }
        for (Attempt attempt : entry.confirmed().attempts()) {
            Machine.Start other = Machine.Start.of(start.uid(), attempt);
            if (!late.contains(other) && evaluator.phase(other, attempt) == TaskReport.Phase.FETCHING) {
                return false;
            }
        }
        return true;
    }
}
