package org.spoolline.api;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.function.Consumer;
import org.spoolline.job.JobReader;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;

/**
 * Checks whether any ancestor of a job is cancelled, that is any direct or indirect dependency. It reads the jobs from
 * the key-value store, so the verdict does not depend on a leader, and caches them within a staleness bound.
 */
final class AncestorChecker {
    private final EventLoop loop;
    private final JobReader reader;
    private final AncestorCache cache;

    /** {@code stalenessBoundMs} is how long after a read a job may still be assumed not to be cancelled. */
    AncestorChecker(EventLoop loop, JobReader reader, long stalenessBoundMs) {
        this.loop = loop;
        this.reader = reader;
        cache = new AncestorCache(loop, stalenessBoundMs);
    }

    /** Caches a live value that was committed or read by a request sent at {@code sentAt}, to avoid a later read. */
    void observe(Pipeline job, long sentAt) {
        cache.observe(job, sentAt);
    }

    /**
     * Checks the given dependencies and all their ancestors. {@code onVerdict} is called exactly once, possibly before
     * this method returns. Jobs are read in the given order, so that a submission causes the same requests in every
     * run; the iteration order of {@code Set.copyOf} differs between runs.
     */
    void check(Collection<String> dependencies, Consumer<AncestorVerdict> onVerdict) {
        new AncestorWalk(loop, reader, cache, new LinkedHashSet<>(dependencies), onVerdict).visitPending();
    }
}
