package org.spoolline.scheduler;

import org.spoolline.job.JobEntry;
import org.spoolline.pipeline.Pipeline;

/**
 * A value of a job that a scheduling cycle has changed and has to store.
 *
 * @param entry    the live job with its committed value
 * @param proposed the value to store in place of the committed value
 */
record PendingWrite(JobEntry entry, Pipeline proposed) {
    /** Id of the job. */
    String jobId() {
        return proposed.jobId();
    }

    /** True when the job reaches a terminal state, so that its terminal record replaces the live value. */
    boolean terminal() {
        return proposed.succeeded() || proposed.cancelledWithoutAttempts();
    }
}
