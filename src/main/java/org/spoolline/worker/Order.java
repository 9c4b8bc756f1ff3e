package org.spoolline.worker;

import org.spoolline.pipeline.AttemptId;

/**
 * An instruction to a worker about one attempt. Orders are sent only in responses to heartbeats, so that no worker
 * executes a delayed one.
 */
sealed interface Order {
    /** The attempt to which the order applies. */
    AttemptId attemptId();

    /** Starts the attempt. */
    record Launch(AttemptId attemptId) implements Order {}

    /**
     * Stops the attempt.
     *
     * @param graceS seconds that the attempt has to save a checkpoint; 0 stops it immediately
     */
    record Stop(AttemptId attemptId, double graceS) implements Order {}

    /** Makes the worker stop listing an exited attempt in its heartbeats. Sent once the exit is committed. */
    record Clear(AttemptId attemptId) implements Order {}
}
