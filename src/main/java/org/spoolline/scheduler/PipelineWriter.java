package org.spoolline.scheduler;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.election.LeaderElection;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.net.EventLoop;

/**
 * Stores what the scheduling cycles decide: each changed value once, the most urgent first, in few transactions that hold
 * only under this leadership.
 */
final class PipelineWriter {
    /** Is notified of what becomes of pending writes. */
    interface Listener {
        /** The write is part of a transaction that was sent. */
        void writeSent(PendingWrite write);

        /** The write is stored, with this revision. */
        void writeApplied(PendingWrite write, long revision);

        /** The write to this job is not stored and never will be. */
        void writeAbandoned(JobEntry entry);

        /** The outcome of a transaction, or of a write that was read again, is known; true when it was applied. */
        void outcomeKnown(boolean applied);
    }

    private final KeyValueStoreClient store;
    private final RefusedWrites refusedWrites;
    private final WriteOrder writeOrder;
    private final TransactionCommitter committer;
    private final WriteLog writeLog;

    PipelineWriter(
            EventLoop loop,
            KeyValueStoreClient store,
            LeaderElection election,
            JobTable jobs,
            Listener listener,
            Counters counters) {
        this.store = store;
        this.refusedWrites = new RefusedWrites(loop);
        this.writeLog = new WriteLog(counters);
        this.writeOrder = new WriteOrder(loop, store, refusedWrites);
        this.committer = new TransactionCommitter(loop, store, election, jobs, refusedWrites, listener, writeLog);
    }

    /** Begins the term of this token, or with 0 ends the present one; answers to transactions in flight are ignored. */
    void beginTerm(long token) {
        committer.beginTerm(token);
        writeOrder.clear();
        refusedWrites.clear();
    }

    /** True when no transaction is in flight. */
    boolean isIdle() {
        return committer.isIdle();
    }

    /**
     * Sends writes in few transactions, as far as the write budget goes.
     *
     * @param writes by job id
     * @return true when all were sent; the next cycle decides the others again
     */
    boolean write(Map<String, PendingWrite> writes) {
        List<PendingWrite> writesToSend = writeOrder.writesToSend(writes);
        Map<String, PendingWrite> unsent = new LinkedHashMap<>(writes);
        int allowance = store.availableWrites();
        WriteBatch batch = new WriteBatch();
        for (PendingWrite write : writesToSend) {
            if (allowance < EncodedWrite.operations(write) || !committer.maySend()) {
                break;
            }
            EncodedWrite encoded = EncodedWrite.of(write);
            if (encoded.valueBytes() > store.limits().valueBytes()) {
                // A value from before the limits were lowered: it is written once enough of its tasks have ended.
                continue;
            }
            if (needsNewBatch(batch, encoded)) {
                send(batch);
                batch = new WriteBatch();
            }
            batch.add(encoded);
            unsent.remove(write.jobId());
            allowance -= encoded.operations();
        }
        boolean lastBatchSent = sendIfPossible(batch);
        writeLog.deferred(unsent.values(), allowance);
        return lastBatchSent && unsent.isEmpty();
    }

    private boolean needsNewBatch(WriteBatch batch, EncodedWrite encoded) {
        boolean isolated = refusedWrites.isIsolated(encoded.write().jobId()) && !batch.isEmpty();
        return isolated || !batch.fits(encoded, store.limits().txnOps());
    }

    /** True when nothing of the batch is left to be sent. */
    private boolean sendIfPossible(WriteBatch batch) {
        if (batch.isEmpty()) {
            return true;
        }
        if (!committer.maySend()) {
            return false;
        }
        send(batch);
        return true;
    }

    private void send(WriteBatch batch) {
        for (PendingWrite write : batch.pendingWrites()) {
            writeOrder.markSent(write.jobId());
        }
        committer.send(batch);
    }
}
