package org.spoolline.scheduler;

import org.spoolline.job.JobEntry;
import org.spoolline.pipeline.Pipeline;

/**
 * A job's value that a scheduling cycle has changed and that is to be stored.
 *
 * @param entry the job as it is committed
 * @param proposed  the value that is to replace the committed one
 */
record PendingWrite(JobEntry entry, Pipeline proposed) {
    /** The job's id. */
    String jobId() {
        return proposed.jobId();
    }

    /** True when the job reaches a terminal state: its terminal record takes the place of the live value. */
    boolean terminal() {
        return proposed.succeeded() || proposed.cancelledWithoutAttempts();
    }
}
