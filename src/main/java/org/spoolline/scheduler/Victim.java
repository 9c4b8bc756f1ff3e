package org.spoolline.scheduler;

import java.util.List;
import org.spoolline.cluster.Machine;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * An attempt that may be preempted.
 *
 * @param loss   core seconds of work that are lost when the attempt stops, or spent on saving a checkpoint
 * @param graceS grace period of the stop in seconds; 0 for an attempt that is stopped without saving a checkpoint
 */
record Victim(Pipeline job, Attempt attempt, double loss, double graceS) {

    /**
     * Creates a victim that saves a checkpoint only if its unsaved work is worth it: the preempting job has to wait for
     * the capacity while the checkpoint is saved.
     */
    static Victim of(Pipeline job, Attempt attempt, Machine machine, long now) {
        Submission spec = job.spec();
        double runTimeS = machine.observedRunMs(AttemptId.of(job.jobId(), attempt), now) / 1000.0;
        double unsavedS = spec.workSinceCheckpointS(runTimeS);
        boolean savesCheckpoint = spec.checkpoints()
                && unsavedS > Constants.Placement.CHECKPOINT_MIN_UNSAVED_FACTOR * spec.checkpointSaveS();
        return savesCheckpoint
                ? new Victim(job, attempt, spec.cores() * spec.checkpointSaveS(), spec.stopGraceS())
                : new Victim(job, attempt, spec.cores() * unsavedS, 0);
    }

    /** The submission of the job that the attempt belongs to. */
    Submission spec() {
        return job.spec();
    }

    /** The attempt's id. */
    AttemptId attemptId() {
        return AttemptId.of(job.jobId(), attempt);
    }

    /**
     * A machine and the attempts to be preempted on it.
     *
     * @param cost core seconds that preemption and image fetch cost; 0 for an array job, for which costs are not
     *     compared
     */
    record OnMachine(SchedulableMachine machine, List<Victim> victims, double cost) {}
}
