package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;

/**
 * Jobs whose writes were refused. An isolated job is written in a transaction of its own until that succeeds, so that it
 * can't fail the writes of others; a paused one is not written for a while.
 */
final class RefusedWrites {
    private final Set<String> isolatedJobs = new HashSet<>();
    private final JobPauses jobPauses;

    RefusedWrites(EventLoop loop) {
        this.jobPauses = new JobPauses(loop);
    }

    /** Forgets everything of an earlier term. */
    void clear() {
        isolatedJobs.clear();
        jobPauses.clear();
    }

    /** Isolates a job of a refused transaction. */
    void isolate(String jobId) {
        isolatedJobs.add(jobId);
    }

    /** Ends the isolation of a job that was written. */
    void endIsolation(String jobId) {
        isolatedJobs.remove(jobId);
    }

    /** True when the job has to be written in a transaction of its own. */
    boolean isIsolated(String jobId) {
        return isolatedJobs.contains(jobId);
    }

    /** Pauses a job whose value is too large: unchanged it fails again, but some of its tasks may end meanwhile. */
    void pauseOversizedJob(String jobId) {
        jobPauses.pause(jobId, Constants.Cycle.OVERSIZED_VALUE_BACKOFF_MS);
    }

    /** Ends the pauses whose time is up. */
    void expirePauses() {
        jobPauses.expire();
    }

    /** True while the job is not to be written. */
    boolean isPaused(String jobId) {
        return jobPauses.isPaused(jobId);
    }
}
