package org.spoolline.cluster;

import org.spoolline.pipeline.AttemptId;

/** One task as its machine reports it. {@code exitReason} is null until it has exited. */
public record TaskStatus(
        String jobId, int task, long attempt, Phase phase, ExitReason exitReason, boolean checkpointed) {
    /** The attempt that this is about. */
    public AttemptId attemptId() {
        return new AttemptId(jobId, task, attempt);
    }

    /** Written out, see {@link org.spoolline.pipeline.Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskStatus status
                && task == status.task
                && attempt == status.attempt
                && phase == status.phase
                && exitReason == status.exitReason
                && checkpointed == status.checkpointed
                && jobId.equals(status.jobId);
    }

    @Override
    public int hashCode() {
        return (jobId.hashCode() * 31 + task) * 31 + Long.hashCode(attempt);
    }

    /** What the task is doing. */
    public enum Phase {
        FETCHING_IMAGE,
        WAITING_FOR_GANG,
        RUNNING,
        SAVING_CHECKPOINT,
        EXITED
    }

    /** Why it ended. */
    public enum ExitReason {
        COMPLETED,
        STOPPED,
        GANG_MEMBER_LOST,
        GANG_WAIT_TIMEOUT,
        FAILED,
        INSUFFICIENT_CAPACITY,
        ALREADY_RUNNING,
        UNKNOWN
    }
}
