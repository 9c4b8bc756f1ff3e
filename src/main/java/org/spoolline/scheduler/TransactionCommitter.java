package org.spoolline.scheduler;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.CommitResult;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.net.EventLoop;

/**
 * Commits transactions on condition that this node is still the leader, and tracks each one until its outcome is known.
 * A transaction without a response is resent unchanged; its version conditions ensure that at most one copy is applied.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);

    /**
     * A transaction in flight, with the term in which it was sent. Responses that arrive in a later term are ignored.
     */
    private record SentTransaction(
            long id, Transaction transaction, List<PendingWrite> writes, int operations, long term) {}

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final JobTable jobs;
    private final RefusedWrites refusedWrites;
    private final PipelineWriter.Listener listener;
    private final WriteLog writeLog;
    private long term;
    private long lastTransactionId;
    private int inFlight;

    TransactionCommitter(
            EventLoop loop,
            KeyValueStoreClient store,
            LeaderElection election,
            JobTable jobs,
            RefusedWrites refusedWrites,
            PipelineWriter.Listener listener,
            WriteLog writeLog) {
        this.loop = loop;
        this.store = store;
        this.election = election;
        this.jobs = jobs;
        this.refusedWrites = refusedWrites;
        this.listener = listener;
        this.writeLog = writeLog;
    }

    /**
     * Starts a term. Responses to transactions of earlier terms are ignored from now on.
     *
     * @param token fencing token of the term; {@link Scheduler#NO_TERM} when this node is no longer the leader
     */
    void beginTerm(long token) {
        term = token;
        inFlight = 0;
    }

    /** True when no transaction is in flight. */
    boolean isIdle() {
        return inFlight == 0;
    }

    /** True while fewer transactions are in flight than the limit allows. */
    boolean maySend() {
        return inFlight < Constants.Store.TRANSACTIONS_IN_FLIGHT_MAX;
    }

    /** Sends a batch as one transaction and marks its jobs as having a write in flight. */
    void send(WriteBatch batch) {
        Transaction transaction =
                new Transaction().requireVersion(LeaderElection.LEADER_KEY, election.leaderKeyVersion());
        batch.addTo(transaction);
        List<PendingWrite> writes = batch.pendingWrites();
        for (PendingWrite write : writes) {
            jobs.propose(write.entry(), write.proposed());
            listener.writeSent(write);
        }
        inFlight++;
        SentTransaction sent = new SentTransaction(++lastTransactionId, transaction, writes, batch.operations(), term);
        writeLog.sent(sent.id(), writes);
        commit(sent, result -> handleFirstResponse(sent, result));
    }

    private void commit(SentTransaction sent, Consumer<CommitResult> onResponse) {
        store.acquireWithDebt(sent.operations());
        store.commit(sent.transaction(), result -> {
            if (term == sent.term()) {
                onResponse.accept(result);
            }
        });
    }

    private void handleFirstResponse(SentTransaction sent, CommitResult result) {
        if (result.outcome() == CommitOutcome.UNKNOWN) {
            scheduleResend(sent);
        } else {
            handleOutcome(sent, result);
        }
    }

    /** Resends a transaction after a delay. An earlier copy may have been applied already or may still be applied. */
    private void scheduleResend(SentTransaction sent) {
        LOG.info(
                "Resending unanswered transaction: transaction={} jobs={}",
                sent.id(),
                sent.writes().size());
        runAfterRetryDelay(sent.term(), () -> commit(sent, result -> handleResendResponse(sent, result)));
    }

    /**
     * Handles the response to a resent copy. When the store refuses this copy, an earlier one may still have been
     * applied, so the transaction is resent until its outcome is known.
     */
    private void handleResendResponse(SentTransaction sent, CommitResult result) {
        switch (result.outcome()) {
            case UNKNOWN, REFUSED -> scheduleResend(sent);
            case TOO_LARGE -> {
                // The store lowered its limits after an earlier copy was sent. Whether that copy was applied can only
                // be determined from the stored values.
                inFlight--;
                sent.writes().forEach(write -> readAgain(sent, write));
                listener.outcomeKnown(false);
            }
            default -> handleOutcome(sent, result);
        }
    }

    private void handleOutcome(SentTransaction sent, CommitResult result) {
        inFlight--;
        switch (result.outcome()) {
            case APPLIED -> handleApplied(sent, result.revision());
            case CONFLICT -> handleConflict(sent, result.failedKeys());
            default -> handleRefusal(sent, result.outcome());
        }
        listener.outcomeKnown(result.outcome() == CommitOutcome.APPLIED);
    }

    private void handleApplied(SentTransaction sent, long revision) {
        List<PendingWrite> writes = sent.writes();
        writeLog.applied(sent.id(), writes, revision);
        writes.forEach(write -> refusedWrites.endIsolation(write.jobId()));
        writes.forEach(write -> listener.writeApplied(write, revision));
    }

    /**
     * Handles a transaction with a failed condition. Jobs whose stored version changed are read again. The writes of
     * the other jobs are abandoned: the failed condition also fails for every copy of the transaction still in flight.
     */
    private void handleConflict(SentTransaction sent, List<String> failedKeys) {
        if (failedKeys.contains(LeaderElection.LEADER_KEY)) {
            election.stepDown("the leader key has changed");
            return;
        }
        writeLog.conflicted(sent.id(), sent.writes(), failedKeys);
        for (PendingWrite write : sent.writes()) {
            if (failedKeys.contains(JobKeys.live(write.jobId()))) {
                refusedWrites.isolate(write.jobId());
            }
        }
        for (PendingWrite write : sent.writes()) {
            if (failedKeys.contains(JobKeys.live(write.jobId()))) {
                readAgain(sent, write);
            } else {
                abandon(sent, write.entry(), CommitOutcome.CONFLICT);
            }
        }
    }

    private void handleRefusal(SentTransaction sent, CommitOutcome outcome) {
        List<PendingWrite> writes = sent.writes();
        writeLog.refused(sent.id(), writes, outcome);
        if (outcome == CommitOutcome.TOO_LARGE && writes.size() == 1) {
            refusedWrites.pauseOversizedJob(writes.get(0).jobId());
        }
        if (outcome != CommitOutcome.REFUSED) {
            writes.forEach(write -> refusedWrites.isolate(write.jobId()));
        }
        writes.forEach(write -> abandon(sent, write.entry(), outcome));
    }

    private void abandon(SentTransaction sent, JobEntry entry, CommitOutcome outcome) {
        writeLog.abandoned(sent.id(), entry, outcome);
        jobs.abandonProposed(entry);
        listener.writeAbandoned(entry);
    }

    /** Reads the job's stored value to determine whether the write was applied; retries until the store responds. */
    private void readAgain(SentTransaction sent, PendingWrite write) {
        store.acquireWithDebt(0);
        store.get(JobKeys.live(write.jobId()), read -> {
            if (term != sent.term()) {
                return;
            }
            if (!read.answered()) {
                runAfterRetryDelay(sent.term(), () -> readAgain(sent, write));
                return;
            }
            abandon(sent, write.entry(), CommitOutcome.CONFLICT);
            applyStoredValue(write, read.value());
            listener.outcomeKnown(false);
        });
    }

    private void applyStoredValue(PendingWrite write, VersionedValue stored) {
        String jobId = write.jobId();
        if (stored.exists()) {
            jobs.observe(new WatchEvent(JobKeys.live(jobId), stored.value(), stored.version()), jobId);
        } else {
            jobs.remove(jobId, write.entry().version());
        }
    }

    private void runAfterRetryDelay(long startTerm, Runnable task) {
        loop.after(Constants.Time.RETRY_MS, () -> {
            if (term == startTerm) {
                task.run();
            }
        });
    }
}
