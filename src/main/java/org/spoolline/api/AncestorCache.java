package org.spoolline.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.spoolline.job.LruJobCache;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * What this node has read of live jobs. That a job is cancelled is never undone and is cached without a time limit; that
 * it is not cancelled may be relied on within a staleness bound, well under the time in which a cancellation must take
 * effect.
 */
final class AncestorCache {
    /**
     * A live job that was not cancelled when it was read.
     *
     * @param readSentAt       when the read was sent, in ms of the event loop's clock
     * @param dependencies the jobs that it waits for itself
     * @param service      true if it runs until it is cancelled
     */
    record LiveJob(long readSentAt, List<String> dependencies, boolean service) {}

    private final EventLoop loop;
    private final long stalenessBoundMs;
    private final Map<String, LiveJob> liveJobs = new LruJobCache<>();
    /** Jobs seen cancelled while live. */
    private final Map<String, Boolean> cancelledJobs = new LruJobCache<>();

    AncestorCache(EventLoop loop, long stalenessBoundMs) {
        this.loop = loop;
        this.stalenessBoundMs = stalenessBoundMs;
    }

    /** Caches a live value that was committed or read by a request sent at {@code sentAt}. */
    void observe(Pipeline job, long sentAt) {
        if (job.cancelled()) {
            cancelledJobs.put(job.jobId(), true);
        } else {
            boolean service = job.spec().shape() == Submission.Shape.SERVICE;
            liveJobs.put(job.jobId(), new LiveJob(sentAt, job.spec().dependencies(), service));
        }
    }

    /** True if the job was seen cancelled, which holds for ever. */
    boolean isCancelled(String jobId) {
        return cancelledJobs.containsKey(jobId);
    }

    /** The job as last read while it was live and not cancelled, however long ago. */
    Optional<LiveJob> liveJob(String jobId) {
        return Optional.ofNullable(liveJobs.get(jobId));
    }

    /** True if the staleness bound still allows to rely on the job not being cancelled. */
    boolean isFresh(LiveJob job) {
        return loop.now() - job.readSentAt() < stalenessBoundMs;
    }
}
