package org.spoolline.scheduler;

import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
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
 * Commits transactions that hold only under this leadership, and follows each one until its outcome is known. A
 * transaction without an answer is sent again unchanged: by its conditions it is applied once at most.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);

    /** A transaction that was sent, with the term in which it was; a later term ignores its answer. */
    private record Sent(Transaction transaction, List<PendingWrite> writes, int operations, long term) {}

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final JobTable jobs;
    private final RefusedWrites refused;
    private final PipelineWriter.Listener listener;
    private long term;
    private int inFlight;

    TransactionCommitter(
            EventLoop loop,
            KeyValueStoreClient store,
            LeaderElection election,
            JobTable jobs,
            RefusedWrites refused,
            PipelineWriter.Listener listener) {
        this.loop = loop;
        this.store = store;
        this.election = election;
        this.jobs = jobs;
        this.refused = refused;
        this.listener = listener;
    }

    /** Begins the term of this token, or with 0 ends the present one; answers to earlier transactions are ignored. */
    void begin(long token) {
        term = token;
        inFlight = 0;
    }

    /** True when no transaction is in flight. */
    boolean idle() {
        return inFlight == 0;
    }

    /** True while another transaction may be sent. */
    boolean maySend() {
        return inFlight < Constants.Store.TRANSACTIONS_IN_FLIGHT_MAX;
    }

    /** Sends a batch as one transaction. */
    void send(WriteBatch batch) {
        Transaction transaction =
                new Transaction().requireVersion(LeaderElection.LEADER_KEY, election.leaderKeyVersion());
        batch.addTo(transaction);
        List<PendingWrite> writes = batch.pendingWrites();
        for (PendingWrite write : writes) {
            jobs.propose(write.entry(), write.next());
            listener.sent(write);
        }
        inFlight++;
        Sent sent = new Sent(transaction, writes, batch.operations(), term);
        commit(sent, result -> firstCopyAnswered(sent, result));
    }

    private void commit(Sent sent, Consumer<CommitResult> onAnswer) {
        store.acquireWithDebt(sent.operations());
        store.commit(sent.transaction(), result -> {
            if (term == sent.term()) {
                onAnswer.accept(result);
            }
        });
    }

    private void firstCopyAnswered(Sent sent, CommitResult result) {
        if (result.outcome() == CommitOutcome.UNKNOWN) {
            resendLater(sent);
        } else {
            decided(sent, result);
        }
    }

    /** Sends a transaction again, of which an earlier copy may have been applied, or may yet be. */
    private void resendLater(Sent sent) {
        LOG.info("Resending unanswered transaction: jobs={}", sent.writes().size());
        later(sent.term(), () -> commit(sent, result -> laterCopyAnswered(sent, result)));
    }

    /** That this copy was not applied does not mean that no earlier one was. */
    private void laterCopyAnswered(Sent sent, CommitResult result) {
        switch (result.outcome()) {
            case UNKNOWN, REFUSED -> resendLater(sent);
            case TOO_LARGE -> {
                // The limits were lowered after an earlier copy was sent: only the stored values show its outcome.
                inFlight--;
                sent.writes().forEach(write -> reread(write, sent.term()));
                listener.transactionDecided(false);
            }
            default -> decided(sent, result);
        }
    }

    private void decided(Sent sent, CommitResult result) {
        inFlight--;
        switch (result.outcome()) {
            case APPLIED -> handleApplied(sent.writes(), result.revision());
            case CONFLICT -> handleConflict(sent, result.failedKeys());
            default -> handleRefusal(sent.writes(), result.outcome());
        }
        listener.transactionDecided(result.outcome() == CommitOutcome.APPLIED);
    }

    private void handleApplied(List<PendingWrite> writes, long revision) {
        writes.forEach(write -> refused.written(write.jobId()));
        writes.forEach(write -> listener.applied(write, revision));
    }

    /** Jobs with newer values are read again; for the others the failed condition rules out any late copy. */
    private void handleConflict(Sent sent, List<String> failedKeys) {
        if (failedKeys.contains(LeaderElection.LEADER_KEY)) {
            election.stepDown("the leader key has changed");
            return;
        }
        LOG.info(
                "Transaction conflicted with newer values: jobs={} keys={}",
                sent.writes().size(),
                failedKeys);
        for (PendingWrite write : sent.writes()) {
            if (failedKeys.contains(JobKeys.live(write.jobId()))) {
                refused.isolate(write.jobId());
            }
        }
        for (PendingWrite write : sent.writes()) {
            if (failedKeys.contains(JobKeys.live(write.jobId()))) {
                reread(write, sent.term());
            } else {
                abandon(write.entry());
            }
        }
    }

    private void handleRefusal(List<PendingWrite> writes, CommitOutcome outcome) {
        LOG.info("Transaction refused: jobs={} reason={}", writes.size(), outcome);
        if (outcome == CommitOutcome.TOO_LARGE && writes.size() == 1) {
            refused.pauseOversized(writes.get(0).jobId());
        }
        if (outcome != CommitOutcome.REFUSED) {
            writes.forEach(write -> refused.isolate(write.jobId()));
        }
        writes.forEach(write -> abandon(write.entry()));
    }

    private void abandon(JobTable.Entry entry) {
        jobs.abandonProposed(entry);
        listener.abandoned(entry);
    }

    /** Reads the job's stored value, which shows whether the write was applied. */
    private void reread(PendingWrite write, long readTerm) {
        store.acquireWithDebt(0);
        store.get(JobKeys.live(write.jobId()), read -> {
            if (term != readTerm) {
                return;
            }
            if (!read.answered()) {
                later(readTerm, () -> reread(write, readTerm));
                return;
            }
            abandon(write.entry());
            observe(write, read.value());
            listener.transactionDecided(false);
        });
    }

    private void observe(PendingWrite write, VersionedValue stored) {
        String jobId = write.jobId();
        if (stored.exists()) {
            jobs.observe(new WatchEvent(JobKeys.live(jobId), stored.value(), stored.version()), jobId);
        } else {
            jobs.remove(jobId, write.entry().version());
        }
    }

    private void later(long taskTerm, Runnable task) {
        loop.after(Constants.Time.RETRY_MS, () -> {
            if (term == taskTerm) {
                task.run();
            }
        });
    }
}
