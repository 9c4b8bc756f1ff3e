package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A job, whose whole state is one stored value: its submission, the state of its CEKK machine, the join of its tasks,
 * its current attempts and its retry state. All tasks of a job are one activity in the sense of the paper: the
 * activity succeeds when all tasks have succeeded (A2) and fails when one task has failed (A3, O3).
 *
 * <p>The flow of a job with dependencies begins with a fork over them (F1). Each branch ends when the job that it
 * stands for ends, and the join (J2) then continues with the tasks. The join's count is not stored: the leader derives
 * it from the terminal records of the dependencies and steps the stored initial state by them. Once all dependencies
 * have succeeded, the stored value is that of a job without dependencies.
 *
 * <p>Mutable: a scheduling cycle changes its own {@link #copy}, and a committed pipeline is never changed. Not
 * thread-safe.
 */
public final class Pipeline {
    private EncodedSubmission storedSubmission;
    private final long submittedAt;
    private long eligibleAt;
    private boolean cancelled;
    private CekkMachine.State enactment;
    private final TaskJoin join;
    private final TaskAttempts attempts;
    private final RetryState retry;

    /** Creates a job that isn't cancelled; the pipeline owns the given parts from now on. */
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
     * Creates the pipeline of a newly accepted job.
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
                JobFlow.start(storedSubmission.submission().dependencies()),
                TaskJoin.empty(),
                new TaskAttempts(0),
                RetryState.empty());
    }

    /** Returns a pipeline in the same state that can be changed independently of this one. */
    public Pipeline copy() {
        Pipeline copy = new Pipeline(
                storedSubmission, submittedAt, eligibleAt, enactment, join.copy(), attempts.copy(), retry.copy());
        copy.cancelled = cancelled;
        return copy;
    }

    /** The user's request; it no longer has dependencies once they are satisfied. */
    public Submission spec() {
        return storedSubmission.submission();
    }

    /** The job's id, both for users and in the key-value store. */
    public String jobId() {
        return spec().jobId();
    }

    /** Time of day of the submission, in ms; the deadline is relative to it. */
    public long submittedAt() {
        return submittedAt;
    }

    /**
     * Time of day in ms from which the job waits for capacity: the time of its submission or, if it had dependencies,
     * the end of the last of them.
     */
    public long eligibleAt() {
        return eligibleAt;
    }

    /** True while the job waits for dependencies; it then has no attempts and uses nothing of its team's share. */
    public boolean hasUnsatisfiedDependencies() {
        return !spec().dependencies().isEmpty();
    }

    /**
     * Records that all dependencies have succeeded: their branches join (J2), which pops the success stack and makes
     * the tasks the current activity.
     *
     * @param timeOfDay the time in ms from which the job waits for capacity
     */
    public void satisfyDependencies(long timeOfDay) {
        for (String jobId : spec().dependencies()) {
            enactment = CekkMachine.succeeded(enactment, jobId);
        }
        if (!JobFlow.awaitsTasks(enactment)) {
            throw new IllegalStateException(jobId() + ": with its dependencies satisfied, the job awaits "
                    + enactment.awaitedActivities() + " instead of its tasks");
        }
        // The statuses of the dependencies and of their join are no longer needed and would take space in the stored
        // value.
        enactment = JobFlow.start(List.of());
        storedSubmission = EncodedSubmission.of(spec().withoutDependencies());
        eligibleAt = timeOfDay;
    }

    /**
     * Records that a dependency was cancelled: its branch fails, and since no alternative is left, the job is
     * cancelled.
     */
    public void cancelWithDependency(String dependencyId) {
        enactment = CekkMachine.failed(enactment, dependencyId);
        cancelled |= enactment.failing();
    }

    /** Cancels the job: its tasks no longer start, and its running tasks are stopped. */
    public void cancel() {
        cancelled = true;
    }

    /**
     * Cancels a job whose value was written under larger limits and has become too large to be written with its
     * attempts. Only the number of the attempts is stored. It counts against the team's limit until cancel_s after the
     * value was stored; by then, no machine runs a task of a cancelled job. With its next heartbeat, each worker stops
     * the tasks that no stored value lists.
     */
    public void cancelWithUnlistedAttempts() {
        cancelled = true;
        attempts.unlistAll();
    }

    /** True once the job is cancelled, even while some of its tasks are still running. */
    public boolean cancelled() {
        return cancelled;
    }

    /** True once the job is cancelled and has no attempts left, so that its terminal record can replace its value. */
    public boolean cancelledWithoutAttempts() {
        return cancelled && attempts.isEmpty();
    }

    /** Number of attempts that may still run on machines although the stored value doesn't list them. */
    public int unlistedAttempts() {
        return attempts.unlisted();
    }

    /** Sets the number of unlisted attempts to 0, once the time has passed by which no machine runs any of them. */
    public void clearUnlistedAttempts() {
        attempts.setUnlisted(0);
    }

    /** True once the join of the tasks has succeeded and the success stack has been popped to the empty flow (A2). */
    public boolean succeeded() {
        return enactment.pipelineStatus() == CekkMachine.PipelineStatus.SUCCEEDED;
    }

    /** True if the task with this index, from 0, is completed. */
    public boolean isTaskCompleted(int task) {
        return join.isCompleted(task);
    }

    /** Index of the first task that isn't completed. */
    public int completedBelow() {
        return join.completedBelow();
    }

    /** Number of completed tasks. */
    public int completedTasks() {
        return join.completedTasks();
    }

    /**
     * Records in the join that a task has completed (J2). The last task makes the activity succeed (A2), which pops
     * the success stack. Does nothing if the task is already completed.
     */
    public void completeTask(int task) {
        if (succeeded() || isTaskCompleted(task)) {
            return;
        }
        join.complete(task);
        if (completedTasks() == spec().tasks()) {
            enactment = JobFlow.tasksSucceeded(enactment);
        }
    }

    /**
     * Records that a task has failed: the failure stack (A3, O3) makes the activity run again, and the job avoids the
     * machine and starts no task during the backoff.
     */
    public void recordTaskFailure(String machine, long timeOfDay) {
        if (succeeded()) {
            return;
        }
        enactment = JobFlow.taskFailed(enactment);
        retry.recordFailure(machine, timeOfDay);
    }

    /** Number of task failures so far. */
    public int failures() {
        return retry.failures();
    }

    /**
     * Starts no task before the given time of day in ms. Used after a rejected launch, which doesn't count as a
     * failure.
     */
    public void backOffUntil(long timeOfDay) {
        retry.backOffUntil(timeOfDay);
    }

    /** Time of day in ms before which no task starts; 0 if tasks may start at any time. */
    public long notBefore() {
        return retry.notBefore();
    }

    /** True if the job avoids the machine because one of its tasks failed there recently. */
    public boolean avoids(String machine) {
        return retry.avoids(machine);
    }

    /**
     * Upper bound of the stored size in bytes that the job can reach before its next placement, see {@link
     * StoredSizeBound}. The job must not have unsatisfied dependencies.
     */
    public int maxStoredBytes() {
        return StoredSizeBound.of(this);
    }

    /** A view of the listed attempts, at most one for each task. */
    public Collection<Attempt> attempts() {
        return attempts.listed();
    }

    /** True if the job currently has exactly this attempt. */
    public boolean hasAttempt(Attempt attempt) {
        return attempts.contains(attempt);
    }

    /** Adds an attempt of a task that has none. */
    public void addAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Removes an attempt that was planned but not stored; its number can be used again. */
    public void withdrawAttempt(Attempt attempt) {
        attempts.remove(attempt);
    }

    /** Removes an attempt that has ended with its task completed, and records the completion. */
    public void completeAttempt(Attempt attempt) {
        attempts.remove(attempt);
        completeTask(attempt.task());
    }

    /**
     * Removes an attempt that has ended without completing its task. The task may start again, but never with the same
     * attempt number.
     */
    public void retireAttempt(Attempt attempt) {
        attempts.retire(attempt);
    }

    /** True once a task of the job has been placed. */
    public boolean hasStarted() {
        return attempts.highestNumber() > 0;
    }

    /**
     * Number for new attempts. The numbers of each task only increase, because {@link #retireAttempt} never reuses the
     * number of a removed attempt. Tasks that start for the first time share a number, so that those on the same
     * machine share a placement in the stored form.
     */
    public long nextAttemptNumber() {
        return attempts.nextNumber();
    }

    /**
     * Tasks that are neither completed nor on a machine, in ascending order, at most {@code maxTasks} and, unless the
     * job is a gang, within the join's window; empty if the job is cancelled or has succeeded. A gang completes as a
     * whole, so its join records no single completions.
     */
    public List<Integer> unplacedTasks(int maxTasks) {
        List<Integer> tasks = new ArrayList<>();
        if (cancelled || succeeded()) {
            return tasks;
        }
        int end = spec().gang() ? spec().tasks() : join.windowEnd(spec().tasks());
        for (int task = join.completedBelow(); task < end && tasks.size() < maxTasks; task++) {
            if (!join.isCompleted(task) && !attempts.hasAttemptOf(task)) {
                tasks.add(task);
            }
        }
        return tasks;
    }

    /** Number of tasks that are neither completed nor on a machine; 0 if the job is cancelled or has succeeded. */
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

    /** Returns the stored form, which the caller may write but must not modify. */
    public ObjectNode encode() {
        return PipelineCodec.encode(this);
    }

    /**
     * Decodes a stored value of any version that was ever written.
     *
     * @throws IllegalArgumentException if the value is damaged or of an unknown version
     */
    public static Pipeline decode(JsonNode value) {
        return PipelineCodec.decode(value);
    }

    /** True if a stored value is that of a cancelled job; the rest of the value is not decoded. */
    public static boolean isStoredAsCancelled(JsonNode stored) {
        return PipelineCodec.isCancelled(stored);
    }

    EncodedSubmission storedSubmission() {
        return storedSubmission;
    }

    /** Replaces the stored submission by another form of it. */
    void replaceStoredSubmission(EncodedSubmission replacement) {
        storedSubmission = replacement;
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
