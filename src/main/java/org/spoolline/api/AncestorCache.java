package org.spoolline.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.spoolline.job.LruJobCache;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Caches what this node has read about live jobs. A cancellation is never reverted, so it is cached without a time
 * limit. That a job is not cancelled is assumed only within a staleness bound, which is well below the time within
 * which a cancellation must take effect.
 */
final class AncestorCache {
    /**
     * A live job that was not cancelled when it was read.
     *
     * @param readSentAt   when the request that read the job was sent, in ms of the event loop's clock
     * @param dependencies the job's own direct dependencies
     * @param service      true if the job is a service, which runs until it is cancelled
     */
    record LiveJob(long readSentAt, List<String> dependencies, boolean service) {}

    private final EventLoop loop;
    private final long stalenessBoundMs;
    private final Map<String, LiveJob> liveJobs = new LruJobCache<>();
    /** The ids of jobs whose live value was cancelled when it was read. */
    private final Map<String, Boolean> cancelledJobs = new LruJobCache<>();

    AncestorCache(EventLoop loop, long stalenessBoundMs) {
        this.loop = loop;
        this.stalenessBoundMs = stalenessBoundMs;
    }

    /**
     * Caches a live value that was committed or read by a request sent at {@code sentAt}, in ms of the event loop's
     * clock.
     */
    void observe(Pipeline job, long sentAt) {
        if (job.cancelled()) {
            cancelledJobs.put(job.jobId(), true);
        } else {
            boolean service = job.spec().shape() == Submission.Shape.SERVICE;
            liveJobs.put(job.jobId(), new LiveJob(sentAt, job.spec().dependencies(), service));
        }
    }

    /** True if a live value of the job was read that was cancelled; a cancellation is never reverted. */
    boolean isCancelled(String jobId) {
        return cancelledJobs.containsKey(jobId);
    }

    /** The job as last read while it was live and not cancelled, regardless of age; empty if it is not cached. */
    Optional<LiveJob> liveJob(String jobId) {
        return Optional.ofNullable(liveJobs.get(jobId));
    }

    /** True if the cached job is recent enough to assume that the job is not cancelled. */
    boolean isFresh(LiveJob job) {
        return loop.now() - job.readSentAt() < stalenessBoundMs;
    }
}
