package org.spoolline.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Stores what the cycles decide: each changed value once, the most urgent first, in few transactions that hold only under
 * this leadership. A transaction without an answer is sent again unchanged until its fate is known.
 */
final class PipelineWriter {
    private static final Logger LOG = LoggerFactory.getLogger(PipelineWriter.class);
    /** Rank of a change that only takes ends of some tasks over. */
    private static final int ENDS_ONLY = 4;
    /** Rank of a change that was refused before: last, so that it keeps nobody from being written. */
    private static final int ISOLATED = 5;

    /** A value to be rewritten in this cycle. */
    record PendingWrite(JobTable.Entry entry, Pipeline next) {
        String jobId() {
            return next.jobId();
        }

        /** True when the lasting record of the job takes the live value's place. */
        boolean terminal() {
            return next.succeeded() || next.cancelledWithoutAttempts();
        }
    }

    /** A change with what is to be stored for it: the live value, or the lasting record of a job that is over. */
    private record Write(PendingWrite change, ObjectNode value) {}

    /** A change with its place in the order. */
    private record Ranked(PendingWrite change, int rank, long since) {}

    /** Hears what becomes of the changes. */
    interface Listener {
        /** The change is on its way. */
        void sent(PendingWrite change);

        /** It is stored, with this revision. */
        void applied(PendingWrite change, long revision);

        /** It is not stored and never will be. */
        void abandoned(JobTable.Entry entry);

        /** A transaction is decided; true when it was applied. */
        void transactionDecided(boolean applied);
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final JobTable jobs;
    private final Listener listener;
    private long term;
    private int inFlight;
    /** Since when a job's change has waited for the state budget. */
    private final Map<String, Long> unwrittenSince = new HashMap<>();
    /** Jobs whose value the service refused by itself, with the time until which it is not sent again. */
    private final Map<String, Long> pausedUntil = new HashMap<>();
    /** Jobs of a refused transaction: each is written by itself until that succeeds, lest one of them stops the rest. */
    private final Set<String> isolated = new HashSet<>();

    PipelineWriter(
            EventLoop loop, KeyValueStoreClient store, LeaderElection election, JobTable jobs, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.election = election;
        this.jobs = jobs;
        this.listener = listener;
    }

    /** Whatever was under way is of an earlier term; 0 ends the present one. */
    void begin(long token) {
        term = token;
        inFlight = 0;
        unwrittenSince.clear();
        isolated.clear();
        pausedUntil.clear();
    }

    /** True when nothing is under way. */
    boolean idle() {
        return inFlight == 0;
    }

    private void later(long mine, Runnable task) {
        loop.after(Constants.Time.RETRY_MS, () -> {
            if (term == mine) {
                task.run();
            }
        });
    }

    /** Writes the changes in few transactions; false: the budget does not carry some, they are decided again. */
    boolean write(Map<String, PendingWrite> changes) {
        List<PendingWrite> ordered = inOrder(changes);
        int allowance = store.availableWrites();
        List<Write> batch = new ArrayList<>();
        int written = 0;
        int ops = 0;
        int bytes = 0;
        for (PendingWrite change : ordered) {
            boolean over = change.terminal();
            int cost = over ? 2 : 1;
            if (allowance < cost || inFlight >= Constants.Store.TRANSACTIONS_IN_FLIGHT_MAX) {
                break;
            }
            ObjectNode value = over
                    ? TerminalRecord.of(change.next()).encode()
                    : change.next().encode();
            int valueBytes = Json.bytes(value).length;
            if (valueBytes > store.limits().valueBytes()) {
                // A value of before the limits were lowered: it is written once enough of its tasks have ended.
                continue;
            }
            int size = over
                    ? Constants.Store.TERMINAL_RECORD_BYTES
                    : valueBytes + Constants.Store.TRANSACTION_WRITE_OVERHEAD_BYTES;
            boolean apart = isolated.contains(change.jobId()) && !batch.isEmpty();
            if (apart || ops + cost > store.limits().txnOps() || bytes + size > Constants.Store.TRANSACTION_BYTES_MAX) {
                send(batch, ops);
                batch = new ArrayList<>();
                ops = 0;
                bytes = 0;
            }
            batch.add(new Write(change, value));
            written++;
            ops += cost;
            bytes += size;
            allowance -= cost;
        }
        if (!batch.isEmpty() && inFlight < Constants.Store.TRANSACTIONS_IN_FLIGHT_MAX) {
            send(batch, ops);
            batch = List.of();
        }
        return written == changes.size() && batch.isEmpty();
    }

    /**
     * What the state budget should go to first: what has waited too long, so that no job starves; then urgent starts;
     * then ends that users wait for; then other starts. Single completions of wide arrays can wait.
     */
    private List<PendingWrite> inOrder(Map<String, PendingWrite> changes) {
        long now = loop.now();
        boolean low = store.writeBudgetLow();
        unwrittenSince.keySet().retainAll(changes.keySet());
        pausedUntil.values().removeIf(until -> until <= now);
        List<Ranked> ordered = new ArrayList<>();
        for (PendingWrite change : changes.values()) {
            if (pausedUntil.containsKey(change.jobId())) {
                continue;
            }
            unwrittenSince.putIfAbsent(change.jobId(), now);
            long since = unwrittenSince.get(change.jobId());
            int rank = rank(change, now - since);
            if (!low || rank != ENDS_ONLY || now - since >= Constants.Cycle.COMPLETIONS_WAIT_MS) {
                ordered.add(new Ranked(change, rank, since));
            }
        }
        ordered.sort(Comparator.comparingInt(Ranked::rank).thenComparingLong(Ranked::since));
        return ordered.stream().map(Ranked::change).toList();
    }

    private int rank(PendingWrite change, long waitedMs) {
        Pipeline next = change.next();
        if (isolated.contains(change.jobId())) {
            return ISOLATED;
        }
        if (waitedMs > Constants.Cycle.WRITE_STARVATION_MS) {
            return 0;
        }
        boolean starts = next.attempts().stream()
                .anyMatch(attempt -> !change.entry().committed().hasAttempt(attempt));
        if (starts && next.spec().priority().compareTo(Submission.Priority.URGENT) >= 0) {
            return 1;
        }
        return change.terminal() ? 2 : starts ? 3 : ENDS_ONLY;
    }

    private void send(List<Write> batch, int ops) {
        Transaction transaction =
                new Transaction().requireVersion(LeaderElection.LEADER_KEY, election.leaderKeyVersion());
        for (Write write : batch) {
            PendingWrite change = write.change();
            String jobId = change.jobId();
            transaction.requireVersion(JobKeys.live(jobId), change.entry().version());
            if (change.terminal()) {
                transaction.delete(JobKeys.live(jobId)).put(JobKeys.terminal(jobId), write.value());
            } else {
                transaction.put(JobKeys.live(jobId), write.value());
            }
            jobs.propose(change.entry(), change.next());
            listener.sent(change);
            unwrittenSince.remove(jobId);
        }
        inFlight++;
        store.acquireWithDebt(ops);
        commit(transaction, batch.stream().map(Write::change).toList(), ops, term, false);
    }

    /** {@code unsure}: an earlier copy got no answer, so it may have been applied, or may yet be. */
    private void commit(Transaction transaction, List<PendingWrite> batch, int ops, long mine, boolean unsure) {
        store.commit(transaction, result -> {
            if (term != mine) {
                return;
            }
            CommitOutcome fate = result.outcome();
            if (fate == CommitOutcome.UNKNOWN || unsure && fate == CommitOutcome.REFUSED) {
                // The very same one is applied once at most, for its conditions; it is sent until that is decided.
                LOG.info("no answer to a transaction of {} jobs, sent again", batch.size());
                later(mine, () -> {
                    store.acquireWithDebt(ops);
                    commit(transaction, batch, ops, mine, true);
                });
                return;
            }
            inFlight--;
            if (unsure && fate == CommitOutcome.TOO_LARGE) {
                // The limits were lowered after an earlier copy was sent: only the store tells what became of that one.
                batch.forEach(change -> reread(change, mine));
            } else if (fate == CommitOutcome.APPLIED) {
                batch.forEach(change -> isolated.remove(change.jobId()));
                batch.forEach(change -> listener.applied(change, result.revision()));
            } else if (fate == CommitOutcome.CONFLICT) {
                conflict(batch, result.failedKeys(), mine);
            } else {
                LOG.info("a transaction of {} jobs was refused: {}", batch.size(), fate);
                if (fate == CommitOutcome.TOO_LARGE && batch.size() == 1) {
                    // Sent again unchanged it would be refused for ever; by then some of its tasks may have ended.
                    pausedUntil.put(batch.get(0).jobId(), loop.now() + Constants.Cycle.OVERSIZED_VALUE_BACKOFF_MS);
                }
                if (fate != CommitOutcome.REFUSED) {
                    batch.forEach(change -> isolated.add(change.jobId()));
                }
                batch.forEach(change -> abandoned(change.entry()));
            }
            listener.transactionDecided(fate == CommitOutcome.APPLIED);
        });
    }

    /** Jobs with newer values are read again; for the others the failed condition rules out any late copy. */
    private void conflict(List<PendingWrite> batch, List<String> failed, long mine) {
        if (failed.contains(LeaderElection.LEADER_KEY)) {
            election.stepDown("the leader key is not ours any more");
            return;
        }
        LOG.info("a transaction of {} jobs met newer values: {}", batch.size(), failed);
        batch.stream().filter(c -> failed.contains(JobKeys.live(c.jobId()))).forEach(c -> isolated.add(c.jobId()));
        for (PendingWrite change : batch) {
            if (failed.contains(JobKeys.live(change.jobId()))) {
                reread(change, mine);
            } else {
                abandoned(change.entry());
            }
        }
    }

    private void abandoned(JobTable.Entry entry) {
        jobs.abandonProposed(entry);
        listener.abandoned(entry);
    }

    private void reread(PendingWrite change, long mine) {
        String jobId = change.jobId();
        store.acquireWithDebt(0);
        store.get(JobKeys.live(jobId), read -> {
            if (term != mine) {
                return;
            }
            if (!read.answered()) {
                later(mine, () -> reread(change, mine));
                return;
            }
            abandoned(change.entry());
            if (read.value().exists()) {
                jobs.observe(
                        new WatchEvent(
                                JobKeys.live(jobId),
                                read.value().value(),
                                read.value().version()),
                        jobId);
            } else {
                jobs.remove(jobId, change.entry().version());
            }
            listener.transactionDecided(false);
        });
    }
}
