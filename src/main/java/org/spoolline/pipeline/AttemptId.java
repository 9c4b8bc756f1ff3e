package org.spoolline.pipeline;

import org.spoolline.config.Constants;

/**
 * Identifies one attempt of one task of a job, whatever machine it is on. Heartbeats name it, and no two attempts of a
 * task share one.
 *
 * @param jobId   the job
 * @param task    the task's index within the job, from 0
 * @param attempt the number of the attempt; the numbers of one task only grow
 */
public record AttemptId(String jobId, int task, long attempt) {
    /** The id of a stored attempt of the job. */
    public static AttemptId of(String jobId, Attempt attempt) {
        return new AttemptId(jobId, attempt.task(), attempt.number());
    }

    /** Written out, see {@link Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof AttemptId attemptId
                && task == attemptId.task
                && attempt == attemptId.attempt
                && jobId.equals(attemptId.jobId);
    }

    /** Spreads neighbouring jobs and tasks: a record's own hash gives many of them the same one. */
    @Override
    public int hashCode() {
        return jobId.hashCode() * Constants.Job.HASH_SPREAD + task * 31 + (int) attempt;
    }
}
