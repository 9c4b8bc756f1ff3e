package org.spoolline.pipeline;

import java.util.List;
import java.util.Set;

/**
 * What a user asked for, checked. {@code machineTypes} is null for any machine type, {@code zone} for any zone.
 *
 * @param dependencies ids of the jobs that must be done before any task of this one starts, each once
 */
public record Submission(
        String jobId,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        double cores,
        double accelerators,
        double memoryGb,
        String image,
        double imageGb,
        Set<String> machineTypes,
        String zone,
        boolean singleZone,
        boolean spreadAcrossZones,
        boolean allowsSpot,
        double estimateS,
        double checkpointIntervalS,
        double checkpointSaveS,
        Double deadlineS,
        List<String> dependencies) {

    /** Independent tasks; tasks that run together or not at all; tasks kept running until the user cancels. */
    public enum Shape {
        ARRAY,
        GANG,
        SERVICE
    }

    /** From least to most urgent. */
    public enum Priority {
        BEST_EFFORT,
        STANDARD,
        URGENT,
        CRITICAL
    }

    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** The same job without prerequisites, once they are all done. */
    Submission withoutDependencies() {
        return new Submission(
                jobId,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                cores,
                accelerators,
                memoryGb,
                image,
                imageGb,
                machineTypes,
                zone,
                singleZone,
                spreadAcrossZones,
                allowsSpot,
                estimateS,
                checkpointIntervalS,
                checkpointSaveS,
                deadlineS,
                List.of());
    }

    /** A task that saves its progress when it is stopped with enough grace. */
    public boolean checkpoints() {
        return checkpointIntervalS > 0;
    }

    /** Seconds of grace with which a task is stopped: enough to save, none where nothing is saved. */
    public double stopGraceS() {
        return checkpoints() ? checkpointSaveS + 1 : 0;
    }

    /** Seconds of run time that a stop without grace throws away after so many. */
    public double workSinceCheckpointS(double ranS) {
        return checkpoints() ? ranS % checkpointIntervalS : ranS;
    }

    /** Seconds of run time that are lost, on average, when one task's machine vanishes; a gang loses them in each task. */
    public double expectedLossS() {
        double once = (checkpoints() ? Math.min(checkpointIntervalS, estimateS) : estimateS) / 2;
        return gang() ? once * tasks : once;
    }

    /** At most so many of the tasks may be in one zone. */
    public int maxTasksPerZone() {
        return spreadAcrossZones ? (tasks + 1) / 2 : tasks;
    }
}
