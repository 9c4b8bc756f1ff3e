package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;

/**
 * Jobs whose writes the key-value store did not apply. An isolated job is written in a transaction of its own until
 * that transaction succeeds, so that its failure does not affect other jobs. A paused job is not written until its
 * pause ends.
 */
final class RefusedWrites {
    private final Set<String> isolatedJobs = new HashSet<>();
    private final JobPauses jobPauses;

    RefusedWrites(EventLoop loop) {
        this.jobPauses = new JobPauses(loop);
    }

    /** Clears the state of the previous term. */
    void clear() {
        isolatedJobs.clear();
        jobPauses.clear();
    }

    /** Isolates a job of a transaction that conflicted or that the store rejected because of its content. */
    void isolate(String jobId) {
        isolatedJobs.add(jobId);
    }

    /** Ends the isolation of a job after its write was applied. */
    void endIsolation(String jobId) {
        isolatedJobs.remove(jobId);
    }

    /** True while the job has to be written in a transaction of its own. */
    boolean isIsolated(String jobId) {
        return isolatedJobs.contains(jobId);
    }

    /**
     * Pauses a job whose value is too large. The store would refuse the same value again, but the value shrinks when
     * tasks of the job end during the pause.
     */
    void pauseOversizedJob(String jobId) {
        jobPauses.pause(jobId, Constants.Cycle.OVERSIZED_VALUE_BACKOFF_MS);
    }

    /** Ends the pauses whose deadline has passed. */
    void expirePauses() {
        jobPauses.expire();
    }

    /** True when the job is paused and must not be written, as of the last call of {@link #expirePauses}. */
    boolean isPaused(String jobId) {
        return jobPauses.isPaused(jobId);
    }
}
