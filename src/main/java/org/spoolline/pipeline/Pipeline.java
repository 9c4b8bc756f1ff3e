package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A job as the one stored value of the design: its submission, the state of its CEKK machine, the join of its tasks, its
 * current attempts and its retries. The paper's activity is the job itself: the rules see that all of its tasks have
 * succeeded (A2) or that one has failed (A3, O3).
 *
 * <p>A job with dependencies begins with a fork over them (F1), whose branches end as those jobs do; the join (J2) goes on
 * to the tasks. The join's count is not stored: it is derived from the terminal records of the dependencies, and the
 * leader steps the stored start by them. Once all have succeeded, the value is that of a job without dependencies.
 *
 * <p>Mutable while a scheduling cycle works on a {@link #copy} of its own; the committed one is never changed. Not safe
 * for threads.
 */
public final class Pipeline {
    /** Name of the activity that stands for all of the job's tasks; it is part of the stored value. */
    private static final String TASKS_ACTIVITY = "tasks";
    /** Name of the join of the fork over the dependencies, which is never stored. */
    private static final String DEPENDENCIES_JOIN = "dependencies";

    private EncodedSubmission storedSubmission;
    private final long submittedAt;
    private long eligibleAt;
    private boolean cancelled;
    private CekkMachine.State enactment;
    private final TaskJoin join;
    private final TaskAttempts attempts;
    private final RetryState retry;

    /** Continues a job that isn't cancelled; the parts are owned by the pipeline from now on. */
    Pipeline(
            EncodedSubmission storedSubmission,
            long submittedAt,
            long eligibleAt,
            CekkMachine.State enactment,
            TaskJoin join,
            TaskAttempts attempts,
            RetryState retry) {
        this.storedSubmission = storedSubmission;
        this.submittedAt = submittedAt;
        this.eligibleAt = eligibleAt;
        this.enactment = enactment;
        this.join = join;
        this.attempts = attempts;
        this.retry = retry;
    }

    /**
     * A new job.
     *
     * @param submission  the checked submission
     * @param encoded     its stored form, see {@link SubmissionCodec#encode}
     * @param submittedAt time of day in ms
     */
    public static Pipeline accept(Submission submission, JsonNode encoded, long submittedAt) {
        return accept(new EncodedSubmission(submission, encoded), submittedAt);
    }

    static Pipeline accept(EncodedSubmission storedSubmission, long submittedAt) {
        return new Pipeline(
                storedSubmission,
                submittedAt,
                submittedAt,
                startEnactment(storedSubmission.submission().dependencies()),
                TaskJoin.empty(),
                new TaskAttempts(0),
                RetryState.empty());
    }

    /**
     * The job's activity under an or-closure that regenerates itself, since a users' job is never called failed. Before
     * it, a fork over the dependencies, whose branches have an empty failure stack: if one fails, the tasks are cancelled.
     */
    private static CekkMachine.State startEnactment(List<String> dependencies) {
        Flow.Activity tasks = new Flow.Activity(TASKS_ACTIVITY);
        Flow retriedTasks = new Flow.OrClosure(
                new Flow.Or(List.of(tasks)), ContinuationStack.BOTTOM, ContinuationStack.BOTTOM, true);
        if (dependencies.isEmpty()) {
            return CekkMachine.start(tasks, ContinuationStack.BOTTOM.push(retriedTasks));
        }
        List<Flow> branches = new ArrayList<>();
        dependencies.forEach(jobId -> branches.add(new Flow.Activity(jobId)));
        return CekkMachine.start(new Flow.Seq(List.of(new Flow.Fork(DEPENDENCIES_JOIN, branches), retriedTasks)));
    }

    /** A pipeline in the same state that changes independently of this one. */
    public Pipeline copy() {
        Pipeline copy = new Pipeline(
                storedSubmission, submittedAt, eligibleAt, enactment, join.copy(), attempts.copy(), retry.copy());
        copy.cancelled = cancelled;
        return copy;
    }

    /** What the user asked for; without its dependencies once they are satisfied. */
    public Submission spec() {
        return storedSubmission.submission();
    }

    /** Identifies the job, for users and in the key-value store. */
    public String jobId() {
        return spec().jobId();
    }

    /** Time of day of the submission, in ms: the deadline counts from it. */
    public long submittedAt() {
        return submittedAt;
    }

    /** Time of day in ms from which the job waits for capacity: of its submission, or of the end of its last dependency. */
    public long eligibleAt() {
        return eligibleAt;
    }

    /** True while the job waits for dependencies: it has no attempt and takes nothing of its team's share. */
    public boolean hasUnsatisfiedDependencies() {
        return !spec().dependencies().isEmpty();
    }

    /**
     * All dependencies have succeeded: their branches join (J2), which pops the success stack to the tasks.
     *
     * @param timeOfDay the time in ms from which the job waits for capacity
     */
    public void satisfyDependencies(long timeOfDay) {
        for (String jobId : spec().dependencies()) {
            enactment = CekkMachine.succeeded(enactment, jobId);
        }
        if (!enactment.awaitedActivities().equals(List.of(TASKS_ACTIVITY))) {
            throw new IllegalStateException(jobId() + " does not go on to its tasks");
        }
        // The environment of a join that has succeeded is of no further use, and would take space in the value.
        enactment = startEnactment(List.of());
        storedSubmission = EncodedSubmission.of(spec().withoutDependencies());
        eligibleAt = timeOfDay;
    }

    /** A dependency was cancelled: its branch fails, and with no other way left the tasks are cancelled. */
    public void cancelWithDependency(String dependencyId) {
        enactment = CekkMachine.failed(enactment, dependencyId);
        cancelled |= enactment.failing();
    }

    /** Cancels the job: no task starts from now on, and those that run are stopped. */
    public void cancel() {
        cancelled = true;
    }

    /**
     * Cancels a job whose value, written under larger limits, has become too large to be written with its attempts. Only
     * their number is kept: it counts against the team's limit until cancel_s after this was stored, by when no task of a
     * cancelled job is on any machine. Workers end a task that no value lists with their next heartbeat.
     */
    public void cancelWithUnlistedAttempts() {
        cancelled = true;
        attempts.unlistAll();
    }

    /** True once the job is cancelled, even while some of its tasks still run. */
    public boolean cancelled() {
        return cancelled;
    }

    /** True once a cancelled job has no attempt left, so that its terminal record can take the value's place. */
    public boolean cancelledWithoutAttempts() {
        return cancelled && attempts.isEmpty();
    }

    /** Number of attempts that may still be on machines, though the value does not list them. */
    public int unlistedAttempts() {
        return attempts.unlisted();
    }

    /** The time has passed by which no unlisted attempt is on any machine. */
    public void clearUnlistedAttempts() {
        attempts.setUnlisted(0);
    }

    /** True once the join has succeeded and the success stack was popped to the empty flow (A2). */
    public boolean succeeded() {
        return enactment.pipelineStatus() == CekkMachine.PipelineStatus.SUCCEEDED;
    }

    /** True once the task, by its index from 0, has completed. */
    public boolean isTaskCompleted(int task) {
        return join.isCompleted(task);
    }

    /** Number of completed tasks. */
    public int completedTasks() {
        return join.completedTasks();
    }

    /** A task completed: it joins (J2); the last one makes the activity succeed (A2) and pops the success stack. */
    public void completeTask(int task) {
        if (succeeded() || isTaskCompleted(task)) {
            return;
        }
        join.complete(task);
        if (completedTasks() == spec().tasks()) {
            enactment = CekkMachine.succeeded(enactment, TASKS_ACTIVITY);
        }
    }

    /** A task failed: the failure stack (A3, O3) sets the job up for another way, on another machine and later. */
    public void recordTaskFailure(String machine, long timeOfDay) {
        if (succeeded()) {
            return;
        }
        enactment = CekkMachine.failed(enactment, TASKS_ACTIVITY);
        retry.recordFailure(machine, timeOfDay);
    }

    /** Number of task failures so far. */
    public int failures() {
        return retry.failures();
    }

    /** Starts no task before the given time of day in ms, after a start that was rejected: that is no failure. */
    public void backOffUntil(long timeOfDay) {
        retry.backOffUntil(timeOfDay);
    }

    /** Time of day in ms before which no task starts; 0 where there is no such time. */
    public long notBefore() {
        return retry.notBefore();
    }

    /** True when a task of the job failed on the machine recently. */
    public boolean avoids(String machine) {
        return retry.avoids(machine);
    }

    /** Bytes by which the stored join may still grow, at most, as the current attempts complete in any order. */
    public int joinGrowthBytes() {
        int highestTask = -1;
        for (Attempt attempt : attempts.listed()) {
            highestTask = Math.max(highestTask, attempt.task());
        }
        return join.growthBytes(highestTask);
    }

    /** A view of the attempts, at most one for each task. */
    public Collection<Attempt> attempts() {
        return attempts.listed();
    }

    /** True when this very attempt is among them. */
    public boolean hasAttempt(Attempt attempt) {
        return attempts.contains(attempt);
    }

    /** Adds the attempt of a task that has none. */
    public void addAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Removes an attempt that was planned but not stored, without a trace. */
    public void withdrawAttempt(Attempt attempt) {
        attempts.remove(attempt);
    }

    /** An attempt has ended with its task completed. */
    public void completeAttempt(Attempt attempt) {
        attempts.remove(attempt);
        completeTask(attempt.task());
    }

    /** An attempt has ended otherwise: its task may start again, but never under the same number. */
    public void retireAttempt(Attempt attempt) {
        attempts.retire(attempt);
    }

    /** True once a task of the job has been placed. */
    public boolean hasStarted() {
        return attempts.highestNumber() > 0;
    }

    /**
     * Number for new attempts. The numbers of any one task only grow, since {@link #retireAttempt} goes past the lost one;
     * tasks that start for the first time share a number, and with it their machine's place in the stored form.
     */
    public long nextAttemptNumber() {
        return attempts.nextNumber();
    }

    /** Tasks neither completed nor on a machine, lowest first, at most {@code maxTasks}, within the join's window. */
    public List<Integer> unplacedTasks(int maxTasks) {
        List<Integer> tasks = new ArrayList<>();
        if (cancelled || succeeded()) {
            return tasks;
        }
        int end = join.windowEnd(spec().tasks());
        for (int task = join.completedBelow(); task < end && tasks.size() < maxTasks; task++) {
            if (!join.isCompleted(task) && !attempts.hasAttemptOf(task)) {
                tasks.add(task);
            }
        }
        return tasks;
    }

    /** Number of tasks neither completed nor on a machine. */
    public int unplacedTaskCount() {
        if (cancelled || succeeded()) {
            return 0;
        }
        int placed = 0;
        for (Attempt attempt : attempts.listed()) {
            if (!isTaskCompleted(attempt.task())) {
                placed++;
            }
        }
        return spec().tasks() - completedTasks() - placed;
    }

    /** The stored form; the caller may write it, and must not change it. */
    public ObjectNode encode() {
        return PipelineCodec.encode(this);
    }

    /**
     * Reads the stored form, of any version that was ever written.
     *
     * @throws IllegalArgumentException if the value is damaged or of an unknown version
     */
    public static Pipeline decode(JsonNode value) {
        return PipelineCodec.decode(value);
    }

    /** True when a stored value is that of a cancelled job, without reading the rest of it. */
    public static boolean isStoredAsCancelled(JsonNode stored) {
        return PipelineCodec.isCancelled(stored);
    }

    JsonNode encodedSubmission() {
        return storedSubmission.encoded();
    }

    CekkMachine.State enactment() {
        return enactment;
    }

    TaskJoin join() {
        return join;
    }

    TaskAttempts taskAttempts() {
        return attempts;
    }

    RetryState retry() {
        return retry;
    }
}
