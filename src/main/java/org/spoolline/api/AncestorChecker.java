package org.spoolline.api;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.function.Consumer;
import org.spoolline.job.JobReader;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;

/**
 * Tells whether an ancestor of a job, that is a dependency or a dependency of one, is cancelled. It reads the key-value
 * store, so that its verdict does not depend on a leader, and caches what it has read within a staleness bound.
 */
final class AncestorChecker {
    private final EventLoop loop;
    private final JobReader reader;
    private final AncestorCache cache;

    /** {@code stalenessBoundMs} is how long a job read as not cancelled may be relied on not to be. */
    AncestorChecker(EventLoop loop, JobReader reader, long stalenessBoundMs) {
        this.loop = loop;
        this.reader = reader;
        cache = new AncestorCache(loop, stalenessBoundMs);
    }

    /** Caches a live value that was committed or read by a request sent at {@code sentAt}, and spares a later read. */
    void observe(Pipeline job, long sentAt) {
        cache.observe(job, sentAt);
    }

    /**
     * Checks the given dependencies and all their ancestors; {@code onVerdict} runs once, now or later. Jobs are read in
     * the order given, so that the same submission sends the same requests in any run: the order of {@code Set.copyOf}
     * differs from one run to the next.
     */
    void check(Collection<String> dependencies, Consumer<AncestorVerdict> onVerdict) {
        new AncestorWalk(loop, reader, cache, new LinkedHashSet<>(dependencies), onVerdict).visitPending();
    }
}
