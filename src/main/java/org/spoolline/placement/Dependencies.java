package org.spoolline.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.intake.FinalRecord;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.state.StateClient;

/**
 * The leader's view of which job needs which, derived anew in each cycle from the live pipelines and the lasting records
 * of their prerequisites; nothing of it is stored. A job is released only on records that were read from the state
 * service or whose write it has confirmed. Records never change, so a release holds under any change of leader.
 */
final class Dependencies {
    private static final Logger LOG = LoggerFactory.getLogger(Dependencies.class);

    /** What becomes of a waiting job in this cycle. */
    enum Verdict {
        WAITS,
        RELEASED,
        CANCELLED
    }

    private final Loop loop;
    private final StateClient state;
    private final JobTable jobs;
    private final Runnable onNews;
    private long term;
    /** Lasting records known of jobs that others wait for. */
    private final Map<String, FinalRecord> records = new HashMap<>();
    /** Records that are being read. */
    private final Set<String> reading = new HashSet<>();
    /** Waiting jobs by each of their prerequisites. */
    private final Map<String, List<Pipeline>> dependents = new HashMap<>();

    private final Map<String, Verdict> verdicts = new HashMap<>();
    private final Map<String, Submission.Priority> inherited = new HashMap<>();

    Dependencies(Loop loop, StateClient state, JobTable jobs, Runnable onNews) {
        this.loop = loop;
        this.state = state;
        this.jobs = jobs;
        this.onNews = onNews;
    }

    /** Forgets everything read in an earlier term; 0 ends the present one. */
    void begin(long token) {
        term = token;
        records.clear();
        reading.clear();
        dependents.clear();
        verdicts.clear();
        inherited.clear();
    }

    /** The lasting record of a job is stored. */
    void recorded(String uid, FinalRecord record) {
        records.put(uid, record);
    }

    /** Judges every waiting job by what is known now, and asks for the records that are missing. */
    void refresh() {
        dependents.clear();
        verdicts.clear();
        inherited.clear();
        List<JobTable.Entry> waiting = new ArrayList<>();
        for (JobTable.Entry entry : jobs.entries()) {
            if (entry.confirmed().waiting()) {
                waiting.add(entry);
                for (String needed : entry.confirmed().spec().prerequisites()) {
                    dependents.computeIfAbsent(needed, n -> new ArrayList<>()).add(entry.confirmed());
                }
            }
        }
        records.keySet().retainAll(dependents.keySet());
        if (waiting.isEmpty()) {
            return;
        }
        cancelDependents();
        for (JobTable.Entry entry : waiting) {
            if (verdictOf(entry.confirmed()) == Verdict.WAITS && allDone(entry.confirmed())) {
                verdicts.put(entry.confirmed().uid(), Verdict.RELEASED);
            }
        }
        inheritPriorities(waiting);
    }

    /** What becomes of a job that waits for prerequisites, as of the last {@link #refresh}. */
    Verdict verdictOf(Pipeline waiting) {
        return verdicts.getOrDefault(waiting.uid(), Verdict.WAITS);
    }

    /** The job with the verdict carried out. */
    Pipeline step(Pipeline waiting) {
        Pipeline next = waiting.copy();
        switch (verdictOf(waiting)) {
            case RELEASED -> {
                next.release(loop.timeOfDay());
                LOG.info("{} may start: all jobs that it needs are done", next.uid());
            }
            case CANCELLED -> {
                waiting.spec().prerequisites().stream()
                        .filter(this::cancelled)
                        .findFirst()
                        .ifPresent(next::prerequisiteCancelled);
                LOG.info("{} is cancelled with a job that it needs", next.uid());
            }
            default -> {}
        }
        return next;
    }

    /** By job, the highest priority among the waiting jobs that need it, directly or through others. */
    Map<String, Submission.Priority> inheritedPriorities() {
        return inherited;
    }

    /** Goes from the cancelled jobs to all that need them: a chain of any length is cancelled in one cycle. */
    private void cancelDependents() {
        Deque<String> cancelled = new ArrayDeque<>();
        for (String needed : dependents.keySet()) {
            if (cancelled(needed)) {
                cancelled.add(needed);
            }
        }
        while (!cancelled.isEmpty()) {
            for (Pipeline dependent : dependents.getOrDefault(cancelled.remove(), List.of())) {
                if (verdicts.put(dependent.uid(), Verdict.CANCELLED) == null) {
                    cancelled.add(dependent.uid());
                }
            }
        }
    }

    private boolean cancelled(String uid) {
        JobTable.Entry live = jobs.get(uid);
        if (live != null) {
            return live.cancelled() || verdicts.get(uid) == Verdict.CANCELLED;
        }
        FinalRecord record = records.get(uid);
        return record != null && !record.done();
    }

    /** True when the records of all prerequisites say done; those of jobs that are no longer live are asked for. */
    private boolean allDone(Pipeline waiting) {
        boolean all = true;
        for (String uid : waiting.spec().prerequisites()) {
            FinalRecord record = records.get(uid);
            if (record == null) {
                all = false;
                if (jobs.get(uid) == null) {
                    readRecord(uid);
                }
            }
        }
        return all;
    }

    private void readRecord(String uid) {
        if (!reading.add(uid)) {
            return;
        }
        long mine = term;
        state.force(0);
        state.get(SchedulingCycles.FINALS + uid, read -> {
            if (term != mine) {
                return;
            }
            if (read.reached() && read.item().exists()) {
                reading.remove(uid);
                records.put(uid, FinalRecord.decode(read.item().value()));
                onNews.run();
                return;
            }
            // No answer, or the job's own value has not come with the watch yet.
            loop.after(Constants.RETRY_MS, () -> {
                if (term == mine) {
                    reading.remove(uid);
                    onNews.run();
                }
            });
        });
    }

    /** From the highest priority down, so that each job is visited once. */
    private void inheritPriorities(List<JobTable.Entry> waiting) {
        List<Pipeline> byPriority = new ArrayList<>();
        for (JobTable.Entry entry : waiting) {
            if (!entry.cancelled() && verdictOf(entry.confirmed()) != Verdict.CANCELLED) {
                byPriority.add(entry.confirmed());
            }
        }
        byPriority.sort(
                Comparator.comparing((Pipeline p) -> p.spec().priority()).reversed());
        for (Pipeline from : byPriority) {
            Deque<String> needed = new ArrayDeque<>(from.spec().prerequisites());
            while (!needed.isEmpty()) {
                String uid = needed.remove();
                JobTable.Entry live = jobs.get(uid);
                if (live != null && inherited.putIfAbsent(uid, from.spec().priority()) == null) {
                    needed.addAll(live.confirmed().spec().prerequisites());
                }
            }
        }
    }
}
