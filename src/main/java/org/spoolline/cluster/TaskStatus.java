package org.spoolline.cluster;

import org.spoolline.pipeline.AttemptId;

/**
 * The status of one attempt, as listed in a heartbeat of its machine.
 *
 * @param jobId the job's id
 * @param task the task's index within the job, from 0
 * @param attempt the number of the attempt
 * @param phase the attempt's current phase
 * @param exitReason why the attempt ended; null unless it has exited
 * @param checkpointed true when the attempt saved a checkpoint before it ended
 */
public record TaskStatus(
        String jobId, int task, long attempt, Phase phase, ExitReason exitReason, boolean checkpointed) {
    /** The attempt's id. */
    public AttemptId attemptId() {
        return new AttemptId(jobId, task, attempt);
    }

    /** Implemented by hand, see {@link org.spoolline.pipeline.Attempt#equals}. */
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

    /** The phases of an attempt on its machine. */
    public enum Phase {
        /** The worker is fetching the image. */
        FETCHING_IMAGE,
        /** The attempt has its image and waits until every member of its gang does. */
        WAITING_FOR_GANG,
        /** The task is running. */
        RUNNING,
        /** The attempt was ordered to stop and is saving a checkpoint. */
        SAVING_CHECKPOINT,
        /** The attempt has ended; the worker lists it until the leader orders to clear it. */
        EXITED
    }

    /** Why an attempt ended. */
    public enum ExitReason {
        /** The task finished successfully. */
        COMPLETED,
        /** The leader ordered the worker to stop the attempt. */
        STOPPED,
        /** Another member of its gang was lost. */
        GANG_MEMBER_LOST,
        /** The other members of its gang were not ready in time. */
        GANG_WAIT_TIMEOUT,
        /** The task itself failed, or the worker gave a reason that is not listed here. */
        FAILED,
        /** The machine lacks the capacity. */
        INSUFFICIENT_CAPACITY,
        /** The machine is still running another attempt of the task. */
        ALREADY_RUNNING,
        /** The worker does not know the job. */
        UNKNOWN
    }
}
