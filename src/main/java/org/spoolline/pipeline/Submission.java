package org.spoolline.pipeline;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * What a user asked for, checked: see {@link SubmissionCodec} for its wire form and the checks.
 *
 * @param jobId            identifies the job, chosen by the user
 * @param jobClass         the kind of work, for statistics of the users
 * @param team             the team whose quota and fair share it counts against
 * @param shape            how its tasks belong together
 * @param priority         how urgent it is
 * @param tasks            number of tasks, from 1
 * @param resources        what each task takes of its machine
 * @param placement        where tasks may run
 * @param estimateS        seconds that a task is expected to run
 * @param checkpointPolicy how tasks save their progress
 * @param deadlineS        seconds from the submission by which the job should be done; empty for no deadline
 * @param dependencies     ids of the jobs that must succeed before any task of this one starts, each once
 */
public record Submission(
        String jobId,
        String jobClass,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        TaskResources resources,
        PlacementConstraints placement,
        double estimateS,
        CheckpointPolicy checkpointPolicy,
        OptionalDouble deadlineS,
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

    /** The same job without dependencies, once they have all succeeded. */
    Submission withoutDependencies() {
        return new Submission(
                jobId,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                resources,
                placement,
                estimateS,
                checkpointPolicy,
                deadlineS,
                List.of());
    }

    /** True for gang scheduling: the tasks run together or not at all. */
    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** Processor cores of each task. */
    public double cores() {
        return resources.cores();
    }

    /** Accelerators of each task. */
    public double accelerators() {
        return resources.accelerators();
    }

    /** Memory of each task in GB. */
    public double memoryGb() {
        return resources.memoryGb();
    }

    /** Name of the image that the tasks run. */
    public String image() {
        return resources.image();
    }

    /** Size of the image in GB. */
    public double imageGb() {
        return resources.imageGb();
    }

    /** Names of the only machine types allowed, or null where any is. */
    public Set<String> machineTypes() {
        return placement.machineTypes();
    }

    /** The only zone allowed, or null where any is. */
    public String zone() {
        return placement.zone();
    }

    /** True when all tasks must run in one zone. */
    public boolean singleZone() {
        return placement.singleZone();
    }

    /** True when the tasks must be spread, see {@link #maxTasksPerZone}. */
    public boolean spreadAcrossZones() {
        return placement.spreadAcrossZones();
    }

    /** True when spot machines may be used. */
    public boolean allowsSpot() {
        return placement.allowsSpot();
    }

    /** True for tasks that save their progress when they are stopped with enough grace. */
    public boolean checkpoints() {
        return checkpointPolicy.isEnabled();
    }

    /** Seconds of run time between two checkpoints; 0 where the tasks save none. */
    public double checkpointIntervalS() {
        return checkpointPolicy.intervalS();
    }

    /** Seconds that it takes to save a checkpoint. */
    public double checkpointSaveS() {
        return checkpointPolicy.saveS();
    }

    /** Seconds of grace with which a task is stopped: enough to save, none where nothing is saved. */
    public double stopGraceS() {
        return checkpointPolicy.stopGraceS();
    }

    /** Seconds of run time that are lost when a task is stopped without grace after so many. */
    public double workSinceCheckpointS(double runTimeS) {
        return checkpointPolicy.workSinceCheckpointS(runTimeS);
    }

    /** Seconds of run time that are lost, on average, when one task's machine vanishes; a gang loses them in each task. */
    public double expectedLossS() {
        double intervalS = checkpoints() ? Math.min(checkpointPolicy.intervalS(), estimateS) : estimateS;
        double lossPerTaskS = intervalS / 2;
        return gang() ? lossPerTaskS * tasks : lossPerTaskS;
    }

    /** At most so many of the tasks may be in one zone. */
    public int maxTasksPerZone() {
        return placement.spreadAcrossZones() ? (tasks + 1) / 2 : tasks;
    }
}
