package org.spoolline.pipeline;

/**
 * How a job's tasks save their progress.
 *
 * @param intervalS seconds of run time between two checkpoints; 0 where the tasks save none
 * @param saveS     seconds that it takes to save one
 */
public record CheckpointPolicy(double intervalS, double saveS) {
    /** Seconds added to the time of a save, so that a task that is stopped ends by itself after it. */
    private static final double STOP_MARGIN_S = 1;

    /** True for tasks that save their progress when they are stopped with enough grace. */
    public boolean isEnabled() {
        return intervalS > 0;
    }

    /** Seconds of grace with which a task is stopped: enough to save, none where nothing is saved. */
    public double stopGraceS() {
        return isEnabled() ? saveS + STOP_MARGIN_S : 0;
    }

    /** Seconds of run time that are lost when a task is stopped without grace after so many. */
    public double workSinceCheckpointS(double runTimeS) {
        return isEnabled() ? runTimeS % intervalS : runTimeS;
    }
}
