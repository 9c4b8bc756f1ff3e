package org.spoolline.worker;

import org.spoolline.pipeline.AttemptId;

/** What a worker is to do about one attempt. Orders travel only in responses to heartbeats, so none arrives late. */
sealed interface Order {
    /** The attempt that the order is about. */
    AttemptId attemptId();

    /** Start the attempt. */
    record Launch(AttemptId attemptId) implements Order {}

    /**
     * End the attempt.
     *
     * @param graceS seconds that it may take to save a checkpoint first; 0 ends it at once
     */
    record Stop(AttemptId attemptId, double graceS) implements Order {}

    /** Stop listing the attempt, whose exit is committed. */
    record Clear(AttemptId attemptId) implements Order {}
}
