package org.spoolline.pipeline;

/**
 * How a job's tasks save their progress.
 *
 * @param intervalS seconds of run time between two checkpoints; 0 if the tasks save none
 * @param saveS     seconds that saving a checkpoint takes
 */
public record CheckpointPolicy(double intervalS, double saveS) {
    /**
     * Seconds added to the time for saving a checkpoint, so that a stopped task can save one and then exit by itself.
     */
    private static final double STOP_MARGIN_S = 1;

    /** True if the tasks save a checkpoint when they are stopped with a sufficient grace period. */
    public boolean isEnabled() {
        return intervalS > 0;
    }

    /** Grace period in seconds for stopping a task: enough to save a checkpoint, 0 if the tasks save none. */
    public double stopGraceS() {
        return isEnabled() ? saveS + STOP_MARGIN_S : 0;
    }

    /**
     * Seconds of work that are lost when a task that has run for {@code runTimeS} is stopped without a grace period.
     */
    public double workSinceCheckpointS(double runTimeS) {
        return isEnabled() ? runTimeS % intervalS : runTimeS;
    }
}
