package org.spoolline.pipeline;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * A user's request to run a job, already checked; see {@link SubmissionCodec} for its wire form and the checks.
 *
 * @param jobId            identifies the job, chosen by the user
 * @param jobClass         the kind of work, for the users' statistics
 * @param team             the team whose quota and fair share the job counts against
 * @param shape            how the job's tasks relate to one another
 * @param priority         the job's priority
 * @param tasks            number of tasks, at least 1
 * @param resources        what each task uses of its machine
 * @param placement        where tasks may run
 * @param estimateS        expected run time of a task in seconds
 * @param checkpointPolicy how tasks save their progress
 * @param deadlineS        seconds from the submission within which the job should be done; empty for no deadline
 * @param dependencies     ids of the jobs that must succeed before any task of this job starts, without duplicates
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

    /** Independent tasks; tasks that run together or not at all; tasks that run until the user cancels the job. */
    public enum Shape {
        ARRAY,
        GANG,
        SERVICE
    }

    /** Priorities from least to most urgent. */
    public enum Priority {
        BEST_EFFORT,
        STANDARD,
        URGENT,
        CRITICAL
    }

    /** Returns the same submission without dependencies, for use once all of them have succeeded. */
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

    /** Names of the allowed machine types, or null if all are allowed. */
    public Set<String> machineTypes() {
        return placement.machineTypes();
    }

    /** The only allowed zone, or null if all are allowed. */
    public String zone() {
        return placement.zone();
    }

    /** True if all tasks must run in the same zone. */
    public boolean singleZone() {
        return placement.singleZone();
    }

    /** True if the tasks must be spread over zones, see {@link #maxTasksPerZone}. */
    public boolean spreadAcrossZones() {
        return placement.spreadAcrossZones();
    }

    /** True if tasks may run on spot machines. */
    public boolean allowsSpot() {
        return placement.allowsSpot();
    }

    /** True if the tasks save a checkpoint when they are stopped with a sufficient grace period. */
    public boolean checkpoints() {
        return checkpointPolicy.isEnabled();
    }

    /** Seconds of run time between two checkpoints; 0 if the tasks save none. */
    public double checkpointIntervalS() {
        return checkpointPolicy.intervalS();
    }

    /** Seconds that saving a checkpoint takes. */
    public double checkpointSaveS() {
        return checkpointPolicy.saveS();
    }

    /** Grace period in seconds for stopping a task: enough to save a checkpoint, 0 if the tasks save none. */
    public double stopGraceS() {
        return checkpointPolicy.stopGraceS();
    }

    /**
     * Seconds of work that are lost when a task that has run for {@code runTimeS} is stopped without a grace period.
     */
    public double workSinceCheckpointS(double runTimeS) {
        return checkpointPolicy.workSinceCheckpointS(runTimeS);
    }

    /**
     * Average run time in seconds that is lost when the machine of one task fails. For a gang, this is the sum over
     * all of its tasks, because each of them loses its work.
     */
    public double expectedLossS() {
        double intervalS = checkpoints() ? Math.min(checkpointPolicy.intervalS(), estimateS) : estimateS;
        double lossPerTaskS = intervalS / 2;
        return gang() ? lossPerTaskS * tasks : lossPerTaskS;
    }

    /** Maximum number of the job's tasks in one zone. */
    public int maxTasksPerZone() {
        return placement.spreadAcrossZones() ? (tasks + 1) / 2 : tasks;
    }
}
