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
    private record Ranked(PendingWrite write, WriteRank rank, long pendingSince) {}

    private static final Comparator<Ranked> MOST_URGENT_FIRST =
            Comparator.comparing(Ranked::rank).thenComparingLong(Ranked::pendingSince);

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final RefusedWrites refused;
    /** Since when a job has waited to be written. */
    private final Map<String, Long> pendingSince = new HashMap<>();

    WriteOrder(EventLoop loop, KeyValueStoreClient store, RefusedWrites refused) {
        this.loop = loop;
        this.store = store;
        this.refused = refused;
    }

    /** Forgets everything of an earlier term. */
    void clear() {
        pendingSince.clear();
    }

    /** Records that the job's write was sent, so that it no longer waits. */
    void sent(String jobId) {
        pendingSince.remove(jobId);
    }

    /**
     * The writes to be sent now, most urgent first. Left out are those of paused jobs and, while the write budget is low,
     * those of {@link WriteRank#ENDS_ONLY} that can wait longer.
     */
    List<PendingWrite> order(Map<String, PendingWrite> writes) {
        pendingSince.keySet().retainAll(writes.keySet());
        refused.expirePauses();
        long now = loop.now();
        boolean budgetLow = store.writeBudgetLow();
        List<Ranked> ranked = new ArrayList<>();
        for (PendingWrite write : writes.values()) {
            if (!refused.isPaused(write.jobId())) {
                addUnlessDeferred(ranked, write, now, budgetLow);
            }
        }
        ranked.sort(MOST_URGENT_FIRST);
        List<PendingWrite> ordered = new ArrayList<>(ranked.size());
        for (Ranked each : ranked) {
            ordered.add(each.write());
        }
        return ordered;
    }

    private void addUnlessDeferred(List<Ranked> ranked, PendingWrite write, long now, boolean budgetLow) {
        long since = pendingSince.computeIfAbsent(write.jobId(), unseen -> now);
        long waitedMs = now - since;
        WriteRank rank = rank(write, waitedMs);
        boolean deferred = budgetLow && rank == WriteRank.ENDS_ONLY && waitedMs < Constants.Cycle.COMPLETIONS_WAIT_MS;
        if (!deferred) {
            ranked.add(new Ranked(write, rank, since));
        }
    }

    private WriteRank rank(PendingWrite write, long waitedMs) {
        if (refused.isIsolated(write.jobId())) {
            return WriteRank.ISOLATED;
        }
        if (waitedMs > Constants.Cycle.WRITE_STARVATION_MS) {
            return WriteRank.STARVED;
        }
        boolean launches = launchesTasks(write);
        if (launches && write.next().spec().priority().compareTo(Submission.Priority.URGENT) >= 0) {
            return WriteRank.URGENT_LAUNCHES;
        }
        if (write.terminal()) {
            return WriteRank.TERMINAL;
        }
        return launches ? WriteRank.LAUNCHES : WriteRank.ENDS_ONLY;
    }

    private static boolean launchesTasks(PendingWrite write) {
        Pipeline committed = write.entry().committed();
        for (Attempt attempt : write.next().attempts()) {
            if (!committed.hasAttempt(attempt)) {
                return true;
            }
        }
        return false;
    }
}
