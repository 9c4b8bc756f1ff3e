package org.spoolline.api;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.job.JobReader;
import org.spoolline.job.StoredJob;
import org.spoolline.job.TerminalRecord;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;

/**
 * Traverses all ancestors of a job and visits each of them once. Reads of several ancestors are sent concurrently. The
 * traversal is a loop over a queue, since recursion could overflow the stack on a long chain of dependencies.
 */
final class AncestorWalk {
    private final EventLoop loop;
    private final JobReader reader;
    private final AncestorCache cache;
    private final Set<String> directDependencies;
    private final Consumer<AncestorVerdict> onVerdict;
    private final Set<String> visited = new HashSet<>();
    private final Deque<String> pendingVisits = new ArrayDeque<>();
    private int readsInFlight;
    private boolean visiting;
    private AncestorVerdict verdict = AncestorVerdict.NONE_CANCELLED;

    /** Prepares a walk; {@code onVerdict} is called once, when no visit is pending and no read is in flight. */
    AncestorWalk(
            EventLoop loop,
            JobReader reader,
            AncestorCache cache,
            Set<String> directDependencies,
            Consumer<AncestorVerdict> onVerdict) {
        this.loop = loop;
        this.reader = reader;
        this.cache = cache;
        this.directDependencies = directDependencies;
        this.onVerdict = onVerdict;
        pendingVisits.addAll(directDependencies);
    }

    /** Visits all pending ancestors. The owner calls this once; later calls come from the callbacks of the reads. */
    void visitPending() {
        if (visiting) {
            // A read that visit() sent has failed before visit() returned; the loop below is still running.
            return;
        }
        visiting = true;
        while (!pendingVisits.isEmpty()) {
            String jobId = pendingVisits.remove();
            if (visited.add(jobId)) {
                visit(jobId);
            }
        }
        visiting = false;
        if (readsInFlight == 0) {
            onVerdict.accept(verdict);
        }
    }

    private void visit(String jobId) {
        Optional<TerminalRecord> record = reader.cachedTerminalRecord(jobId);
        Optional<AncestorCache.LiveJob> live = cache.liveJob(jobId);
        if (cache.isCancelled(jobId)) {
            combineVerdict(AncestorVerdict.CANCELLED);
        } else if (record.isPresent()) {
            processTerminal(record.get());
        } else if (live.isPresent() && cache.isFresh(live.get())) {
            processLive(jobId, live.get());
        } else {
            read(jobId);
        }
    }

    private void read(String jobId) {
        readsInFlight++;
        long sentAt = loop.now();
        reader.read(
                jobId,
                stored -> {
                    readsInFlight--;
                    processStored(jobId, stored, sentAt);
                    visitPending();
                },
                failure -> {
                    readsInFlight--;
                    combineVerdict(verdictFor(failure));
                    visitPending();
                });
    }

    private static AncestorVerdict verdictFor(JobReader.Failure failure) {
        return switch (failure) {
            case RATE_LIMITED -> AncestorVerdict.RATE_LIMITED;
            case STORE_UNREACHABLE -> AncestorVerdict.STORE_UNREACHABLE;
        };
    }

    private void processStored(String jobId, StoredJob stored, long sentAt) {
        if (stored instanceof StoredJob.Terminal terminal) {
            processTerminal(terminal.record());
        } else if (stored instanceof StoredJob.Live live) {
            processPipeline(jobId, Pipeline.decode(live.value()), sentAt);
        } else {
            combineVerdict(AncestorVerdict.UNSATISFIABLE);
        }
    }

    private void processPipeline(String jobId, Pipeline pipeline, long sentAt) {
        cache.observe(pipeline, sentAt);
        if (pipeline.cancelled()) {
            combineVerdict(AncestorVerdict.CANCELLED);
            return;
        }
        processLive(jobId, cache.liveJob(jobId).orElseThrow(() -> storedUnderWrongKey(jobId, pipeline)));
    }

    private static IllegalStateException storedUnderWrongKey(String jobId, Pipeline pipeline) {
        return new IllegalStateException(
                "Live value stored under the key of another job: job=" + jobId + " stored=" + pipeline.jobId());
    }

    private void processLive(String jobId, AncestorCache.LiveJob live) {
        if (live.service() && directDependencies.contains(jobId)) {
            combineVerdict(AncestorVerdict.UNSATISFIABLE);
        }
        pendingVisits.addAll(live.dependencies());
    }

    private void processTerminal(TerminalRecord record) {
        if (!record.done()) {
            combineVerdict(AncestorVerdict.CANCELLED);
        }
    }

    private void combineVerdict(AncestorVerdict ancestorVerdict) {
        verdict = verdict.combine(ancestorVerdict);
    }
}
