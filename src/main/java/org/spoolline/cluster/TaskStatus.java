package org.spoolline.cluster;

import org.spoolline.pipeline.AttemptId;

/**
 * The status of one attempt as its machine's heartbeat lists it.
 *
 * @param jobId the job
 * @param task the task's index within the job, from 0
 * @param attempt the number of the attempt
 * @param phase what the attempt is doing
 * @param exitReason why it ended; null unless it has exited
 * @param checkpointed true when it saved a checkpoint as it ended
 */
public record TaskStatus(
        String jobId, int task, long attempt, Phase phase, ExitReason exitReason, boolean checkpointed) {
    /** The attempt that this is the status of. */
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

    /** What an attempt is doing. */
    public enum Phase {
        /** Its image is being fetched. */
        FETCHING_IMAGE,
        /** It waits until every member of its gang is there. */
        WAITING_FOR_GANG,
        /** It runs. */
        RUNNING,
        /** It has been told to stop and saves a checkpoint. */
        SAVING_CHECKPOINT,
        /** It has ended; it is listed until the leader orders to clear it. */
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitReason {
        /** The task is done. */
        COMPLETED,
        /** The leader ordered to stop it. */
        STOPPED,
        /** Another member of its gang was lost. */
        GANG_MEMBER_LOST,
        /** The other members of its gang did not come in time. */
        GANG_WAIT_TIMEOUT,
        /** The task itself failed, or for a reason that is unknown here. */
        FAILED,
        /** The machine lacks the capacity. */
        INSUFFICIENT_CAPACITY,
        /** The machine still runs another attempt of the task. */
        ALREADY_RUNNING,
        /** The worker does not know the job. */
        UNKNOWN
    }
}
