package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.config.Constants;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Decides which pending writes are sent first, by {@link WriteRank} and then by how long they have waited. */
final class WriteOrder {
    /** A write with its place in the order. */
    private record RankedWrite(PendingWrite write, WriteRank rank, long pendingSince) {}

    private static final Comparator<RankedWrite> MOST_URGENT_FIRST =
            Comparator.comparing(RankedWrite::rank).thenComparingLong(RankedWrite::pendingSince);

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final RefusedWrites refusedWrites;
    /** Since when a job has waited to be written. */
    private final Map<String, Long> pendingSince = new HashMap<>();

    WriteOrder(EventLoop loop, KeyValueStoreClient store, RefusedWrites refusedWrites) {
        this.loop = loop;
        this.store = store;
        this.refusedWrites = refusedWrites;
    }

    /** Forgets everything of an earlier term. */
    void clear() {
        pendingSince.clear();
    }

    /** Records that the job's write was sent, so that it no longer waits. */
    void markSent(String jobId) {
        pendingSince.remove(jobId);
    }

    /**
     * The writes to be sent now, most urgent first. Left out are those of paused jobs and, while the write budget is low,
     * those of {@link WriteRank#COMPLETIONS_ONLY} that can wait longer.
     */
    List<PendingWrite> writesToSend(Map<String, PendingWrite> writes) {
        pendingSince.keySet().retainAll(writes.keySet());
        refusedWrites.expirePauses();
        long now = loop.now();
        boolean budgetLow = store.writeBudgetLow();
        List<RankedWrite> ranked = new ArrayList<>();
        for (PendingWrite write : writes.values()) {
            if (!refusedWrites.isPaused(write.jobId())) {
                addUnlessDeferred(ranked, write, now, budgetLow);
            }
        }
        ranked.sort(MOST_URGENT_FIRST);
        List<PendingWrite> ordered = new ArrayList<>(ranked.size());
        for (RankedWrite rankedWrite : ranked) {
            ordered.add(rankedWrite.write());
        }
        return ordered;
    }

    private void addUnlessDeferred(List<RankedWrite> ranked, PendingWrite write, long now, boolean budgetLow) {
        long writePendingSince = pendingSince.computeIfAbsent(write.jobId(), id -> now);
        long waitedMs = now - writePendingSince;
        WriteRank rank = rank(write, waitedMs);
        boolean deferred =
                budgetLow && rank == WriteRank.COMPLETIONS_ONLY && waitedMs < Constants.Cycle.COMPLETIONS_WAIT_MS;
        if (!deferred) {
            ranked.add(new RankedWrite(write, rank, writePendingSince));
        }
    }

    private WriteRank rank(PendingWrite write, long waitedMs) {
        if (refusedWrites.isIsolated(write.jobId())) {
            return WriteRank.ISOLATED;
        }
        if (waitedMs > Constants.Cycle.WRITE_STARVATION_MS) {
            return WriteRank.STARVED;
        }
        boolean launchesTasks = launchesTasks(write);
        if (launchesTasks && write.proposed().spec().priority().compareTo(Submission.Priority.URGENT) >= 0) {
            return WriteRank.URGENT_LAUNCHES;
        }
        if (write.terminal()) {
            return WriteRank.TERMINAL;
        }
        return launchesTasks ? WriteRank.LAUNCHES : WriteRank.COMPLETIONS_ONLY;
    }

    private static boolean launchesTasks(PendingWrite write) {
        Pipeline committed = write.entry().committed();
        for (Attempt attempt : write.proposed().attempts()) {
            if (!committed.hasAttempt(attempt)) {
                return true;
            }
        }
        return false;
    }
}
