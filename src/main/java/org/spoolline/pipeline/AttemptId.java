package org.spoolline.pipeline;

import org.spoolline.config.Constants;

/**
 * Identifies one attempt of a job's task, without the machine that it runs on. Heartbeats report attempts by this id,
 * and no two attempts of a task have the same id.
 *
 * @param jobId   the job's id
 * @param task    the task's index within the job, from 0
 * @param attempt the attempt's number, which increases with each further attempt of the same task
 */
public record AttemptId(String jobId, int task, long attempt) {
    /** Returns the id of one of the job's stored attempts. */
    public static AttemptId of(String jobId, Attempt attempt) {
        return new AttemptId(jobId, attempt.task(), attempt.number());
    }

    /** Implemented by hand, see {@link Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId attemptId
                && task == attemptId.task
                && attempt == attemptId.attempt
                && jobId.equals(attemptId.jobId);
    }

    /** Spreads the hashes of similar jobs and tasks, many of which have the same generated record hash. */
    @Override
    public int hashCode() {
        return jobId.hashCode() * Constants.Job.HASH_SPREAD + task * 31 + (int) attempt;
    }
}
