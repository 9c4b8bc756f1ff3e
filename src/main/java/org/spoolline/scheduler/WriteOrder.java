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

/** Orders pending writes by {@link WriteRank} and, within one rank, from the longest to the shortest pending. */
final class WriteOrder {
    /** A write with the rank and the time by which it is ordered. */
    private record RankedWrite(PendingWrite write, WriteRank rank, long pendingSince) {}

    private static final Comparator<RankedWrite> MOST_URGENT_FIRST =
            Comparator.comparing(RankedWrite::rank).thenComparingLong(RankedWrite::pendingSince);

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final RefusedWrites refusedWrites;
    /** Time at which each job started to wait for its write, by job id, in ms of the event loop's clock. */
    private final Map<String, Long> pendingSince = new HashMap<>();

    WriteOrder(EventLoop loop, KeyValueStoreClient store, RefusedWrites refusedWrites) {
        this.loop = loop;
        this.store = store;
        this.refusedWrites = refusedWrites;
    }

    /** Clears the state of the previous term. */
    void clear() {
        pendingSince.clear();
    }

    /** Records that the job's write was sent; the waiting time of its next write starts from zero. */
    void markSent(String jobId) {
        pendingSince.remove(jobId);
    }

    /**
     * Returns the writes that can be sent now, most urgent first. It omits the writes of paused jobs and, while the
     * write budget is low, writes of rank {@link WriteRank#COMPLETIONS_ONLY} until they have waited for
     * {@link Constants.Cycle#COMPLETIONS_WAIT_MS}.
     *
     * @param writes pending writes by job id
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
