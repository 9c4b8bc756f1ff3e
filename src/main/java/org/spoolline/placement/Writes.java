package org.spoolline.placement;

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
import org.spoolline.intake.FinalRecord;
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.state.StateClient;

/**
 * Stores what the cycles decide: each changed value once, the most urgent first, in few transactions that hold only under
 * this leadership. A transaction without an answer is sent again unchanged until its fate is known.
 */
final class Writes {
    private static final Logger LOG = LoggerFactory.getLogger(Writes.class);
    /** Rank of a change that only takes ends of some tasks over. */
    private static final int ENDS_ONLY = 4;
    /** Rank of a change that was refused before: last, so that it keeps nobody from being written. */
    private static final int ALONE = 5;

    /** A value to be rewritten in this cycle. */
    record Change(JobTable.Entry entry, Pipeline next) {
        String uid() {
            return next.uid();
        }

        /** True when the lasting record of the job takes the live value's place. */
        boolean over() {
            return next.finished() || next.cancelledAndGone();
        }
    }

    /** A change with what is to be stored for it: the live value, or the lasting record of a job that is over. */
    private record Write(Change change, ObjectNode value) {}

    /** A change with its place in the order. */
    private record Ranked(Change change, int rank, long since) {}

    /** Hears what becomes of the changes. */
    interface Listener {
        /** The change is on its way. */
        void sent(Change change);

        /** It is stored, with this revision. */
        void applied(Change change, long revision);

        /** It is not stored and never will be. */
        void abandoned(JobTable.Entry entry);

        /** A transaction is decided; true when it was applied. */
        void decided(boolean applied);
    }

    private final Loop loop;
    private final StateClient state;
    private final Leadership leadership;
    private final JobTable jobs;
    private final Listener listener;
    private long term;
    private int inFlight;
    /** Since when a job's change has waited for the state budget. */
    private final Map<String, Long> unwrittenSince = new HashMap<>();
    /** Jobs whose value the service refused by itself, with the time until which it is not sent again. */
    private final Map<String, Long> pausedUntil = new HashMap<>();
    /** Jobs of a refused transaction: each is written by itself until that succeeds, lest one of them stops the rest. */
    private final Set<String> alone = new HashSet<>();

    Writes(Loop loop, StateClient state, Leadership leadership, JobTable jobs, Listener listener) {
        this.loop = loop;
        this.state = state;
        this.leadership = leadership;
        this.jobs = jobs;
        this.listener = listener;
    }

    /** Whatever was under way is of an earlier term; 0 ends the present one. */
    void begin(long token) {
        term = token;
        inFlight = 0;
        unwrittenSince.clear();
        alone.clear();
        pausedUntil.clear();
    }

    /** True when nothing is under way. */
    boolean settled() {
        return inFlight == 0;
    }

    private void later(long mine, Runnable task) {
        loop.after(Constants.RETRY_MS, () -> {
            if (term == mine) {
                task.run();
            }
        });
    }

    /** Writes the changes in few transactions; false: the budget does not carry some, they are decided again. */
    boolean write(Map<String, Change> changes) {
        List<Change> ordered = inOrder(changes);
        int allowance = state.changesLeft();
        List<Write> batch = new ArrayList<>();
        int written = 0;
        int ops = 0;
        int bytes = 0;
        for (Change change : ordered) {
            boolean over = change.over();
            int cost = over ? 2 : 1;
            if (allowance < cost || inFlight >= Constants.TXNS_IN_FLIGHT) {
                break;
            }
            ObjectNode value = over
                    ? FinalRecord.of(change.next()).encode()
                    : change.next().encode();
            int valueBytes = Json.bytes(value).length;
            if (valueBytes > state.limits().valueBytes()) {
                // A value of before the limits were lowered: it is written once enough of its tasks have ended.
                continue;
            }
            int size = over ? Constants.FINAL_BYTES : valueBytes + Constants.FRAME_BYTES;
            boolean apart = alone.contains(change.uid()) && !batch.isEmpty();
            if (apart || ops + cost > state.limits().txnOps() || bytes + size > Constants.TXN_BYTES) {
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
        if (!batch.isEmpty() && inFlight < Constants.TXNS_IN_FLIGHT) {
            send(batch, ops);
            batch = List.of();
        }
        return written == changes.size() && batch.isEmpty();
    }

    /**
     * What the state budget should go to first: what has waited too long, so that no job starves; then urgent starts;
     * then ends that users wait for; then other starts. Single completions of wide arrays can wait.
     */
    private List<Change> inOrder(Map<String, Change> changes) {
        long now = loop.now();
        boolean low = state.runsLow();
        unwrittenSince.keySet().retainAll(changes.keySet());
        pausedUntil.values().removeIf(until -> until <= now);
        List<Ranked> ordered = new ArrayList<>();
        for (Change change : changes.values()) {
            if (pausedUntil.containsKey(change.uid())) {
                continue;
            }
            unwrittenSince.putIfAbsent(change.uid(), now);
            long since = unwrittenSince.get(change.uid());
            int rank = rank(change, now - since);
            if (!low || rank != ENDS_ONLY || now - since >= Constants.ENDS_WAIT_MS) {
                ordered.add(new Ranked(change, rank, since));
            }
        }
        ordered.sort(Comparator.comparingInt(Ranked::rank).thenComparingLong(Ranked::since));
        return ordered.stream().map(Ranked::change).toList();
    }

    private int rank(Change change, long waitedMs) {
        Pipeline next = change.next();
        if (alone.contains(change.uid())) {
            return ALONE;
        }
        if (waitedMs > Constants.WRITE_PATIENCE_MS) {
            return 0;
        }
        boolean starts = next.attempts().stream()
                .anyMatch(a -> !change.entry().confirmed().holds(a));
        if (starts && next.spec().priority().compareTo(Submission.Priority.URGENT) >= 0) {
            return 1;
        }
        return change.over() ? 2 : starts ? 3 : ENDS_ONLY;
    }

    private void send(List<Write> batch, int ops) {
        StateClient.Txn txn = new StateClient.Txn().require(Leadership.LEADER_KEY, leadership.keyVersion());
        for (Write write : batch) {
            Change change = write.change();
            String uid = change.uid();
            txn.require(SchedulingCycles.JOBS + uid, change.entry().version());
            if (change.over()) {
                txn.delete(SchedulingCycles.JOBS + uid).put(SchedulingCycles.FINALS + uid, write.value());
            } else {
                txn.put(SchedulingCycles.JOBS + uid, write.value());
            }
            jobs.propose(change.entry(), change.next());
            listener.sent(change);
            unwrittenSince.remove(uid);
        }
        inFlight++;
        state.force(ops);
        commit(txn, batch.stream().map(Write::change).toList(), ops, term, false);
    }

    /** {@code unsure}: an earlier copy got no answer, so it may have been applied, or may yet be. */
    private void commit(StateClient.Txn txn, List<Change> batch, int ops, long mine, boolean unsure) {
        state.commit(txn, outcome -> {
            if (term != mine) {
                return;
            }
            StateClient.Fate fate = outcome.fate();
            if (fate == StateClient.Fate.UNKNOWN || unsure && fate == StateClient.Fate.REFUSED) {
                // The very same one is applied once at most, for its conditions; it is sent until that is decided.
                LOG.info("no answer to a transaction of {} jobs, sent again", batch.size());
                later(mine, () -> {
                    state.force(ops);
                    commit(txn, batch, ops, mine, true);
                });
                return;
            }
            inFlight--;
            if (unsure && fate == StateClient.Fate.TOO_LARGE) {
                // The limits were lowered after an earlier copy was sent: only the store tells what became of that one.
                batch.forEach(change -> reread(change, mine));
            } else if (fate == StateClient.Fate.APPLIED) {
                batch.forEach(change -> alone.remove(change.uid()));
                batch.forEach(change -> listener.applied(change, outcome.revision()));
            } else if (fate == StateClient.Fate.CONFLICT) {
                conflict(batch, outcome.failed(), mine);
            } else {
                LOG.info("a transaction of {} jobs was refused: {}", batch.size(), fate);
                if (fate == StateClient.Fate.TOO_LARGE && batch.size() == 1) {
                    // Sent again unchanged it would be refused for ever; by then some of its tasks may have ended.
                    pausedUntil.put(batch.get(0).uid(), loop.now() + Constants.REFUSED_VALUE_MS);
                }
                if (fate != StateClient.Fate.REFUSED) {
                    batch.forEach(change -> alone.add(change.uid()));
                }
                batch.forEach(change -> abandoned(change.entry()));
            }
            listener.decided(fate == StateClient.Fate.APPLIED);
        });
    }

    /** Jobs with newer values are read again; for the others the failed condition rules out any late copy. */
    private void conflict(List<Change> batch, List<String> failed, long mine) {
        if (failed.contains(Leadership.LEADER_KEY)) {
            leadership.depose("the leader key is not ours any more");
            return;
        }
        LOG.info("a transaction of {} jobs met newer values: {}", batch.size(), failed);
        batch.stream()
                .filter(c -> failed.contains(SchedulingCycles.JOBS + c.uid()))
                .forEach(c -> alone.add(c.uid()));
        for (Change change : batch) {
            if (failed.contains(SchedulingCycles.JOBS + change.uid())) {
                reread(change, mine);
            } else {
                abandoned(change.entry());
            }
        }
    }

    private void abandoned(JobTable.Entry entry) {
        jobs.abandoned(entry);
        listener.abandoned(entry);
    }

    private void reread(Change change, long mine) {
        String uid = change.uid();
        state.force(0);
        state.get(SchedulingCycles.JOBS + uid, read -> {
            if (term != mine) {
                return;
            }
            if (!read.reached()) {
                later(mine, () -> reread(change, mine));
                return;
            }
            abandoned(change.entry());
            if (read.item().exists()) {
                jobs.seen(
                        new StateClient.Change(
                                SchedulingCycles.JOBS + uid,
                                read.item().value(),
                                read.item().version()),
                        uid);
            } else {
                jobs.drop(uid, change.entry().version());
            }
            listener.decided(false);
        });
    }
}
