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
 * Writes the jobs that a scheduling cycle changed to the key-value store: each job once, the most urgent first, in as
 * few transactions as possible. Each transaction is conditional on this node still being the leader.
 */
final class PipelineWriter {
    /** Receives the outcome of pending writes. */
    interface Listener {
        /** Called when the write was sent as part of a transaction. */
        void writeSent(PendingWrite write);

        /** Called when the write was stored at the given revision of the key-value store. */
        void writeApplied(PendingWrite write, long revision);

        /** Called when the write of the job was not stored and can no longer be stored. */
        void writeAbandoned(JobEntry entry);

        /**
         * Called when the outcome of a transaction is known, and for each job that was read again to determine the
         * outcome of its write.
         *
         * @param applied true when the store confirmed that the transaction was applied; false for a job read again
         */
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

    /**
     * Starts a term with empty state. Responses to transactions in flight are ignored.
     *
     * @param token fencing token of the term; {@link Scheduler#NO_TERM} when this node is no longer the leader
     */
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
     * Sends writes, most urgent first, until the write budget or the limit of transactions in flight is reached.
     *
     * @param writes pending writes by job id
     * @return true when all writes were sent; the next cycle computes the unsent ones again
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
                // The job was stored before the store lowered its limit on value sizes. The write is deferred until
                // enough tasks have ended for the value to fit.
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

    /** Sends the batch if another transaction may be sent; returns true when the batch was sent or is empty. */
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
