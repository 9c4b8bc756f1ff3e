package org.spoolline.scheduler;

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
import org.spoolline.config.Constants;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * The leader's view of which job needs which, derived anew in each cycle from the live pipelines and the lasting records
 * of their prerequisites; nothing of it is stored. A job is released only on records that were read from the state
 * service or whose write it has confirmed. Records never change, so a release holds under any change of leader.
 */
final class DependencyTracker {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);

    /** What becomes of a waiting job in this cycle. */
    enum Verdict {
        UNSATISFIED,
        SATISFIED,
        CANCELLED
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final JobTable jobs;
    private final Runnable onChange;
    private long term;
    /** Lasting records known of jobs that others wait for. */
    private final Map<String, TerminalRecord> records = new HashMap<>();
    /** Records that are being read. */
    private final Set<String> reading = new HashSet<>();
    /** Waiting jobs by each of their prerequisites. */
    private final Map<String, List<Pipeline>> dependents = new HashMap<>();

    private final Map<String, Verdict> verdicts = new HashMap<>();
    private final Map<String, Submission.Priority> inherited = new HashMap<>();

    DependencyTracker(EventLoop loop, KeyValueStoreClient store, JobTable jobs, Runnable onNews) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.onChange = onNews;
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
    void recorded(String jobId, TerminalRecord record) {
        records.put(jobId, record);
    }

    /** Judges every waiting job by what is known now, and asks for the records that are missing. */
    void refresh() {
        dependents.clear();
        verdicts.clear();
        inherited.clear();
        List<JobTable.Entry> waiting = new ArrayList<>();
        for (JobTable.Entry entry : jobs.entries()) {
            if (entry.committed().hasUnsatisfiedDependencies()) {
                waiting.add(entry);
                for (String needed : entry.committed().spec().dependencies()) {
                    dependents.computeIfAbsent(needed, n -> new ArrayList<>()).add(entry.committed());
                }
            }
        }
        records.keySet().retainAll(dependents.keySet());
        if (waiting.isEmpty()) {
            return;
        }
        cancelDependents();
        for (JobTable.Entry entry : waiting) {
            if (verdictOf(entry.committed()) == Verdict.UNSATISFIED && allDone(entry.committed())) {
                verdicts.put(entry.committed().jobId(), Verdict.SATISFIED);
            }
        }
        inheritPriorities(waiting);
    }

    /** What becomes of a job that waits for prerequisites, as of the last {@link #refresh}. */
    Verdict verdictOf(Pipeline waiting) {
        return verdicts.getOrDefault(waiting.jobId(), Verdict.UNSATISFIED);
    }

    /** The job with the verdict carried out. */
    Pipeline step(Pipeline waiting) {
        Pipeline next = waiting.copy();
        switch (verdictOf(waiting)) {
            case SATISFIED -> {
                next.satisfyDependencies(loop.timeOfDay());
                LOG.info("{} may start: all jobs that it needs are done", next.jobId());
            }
            case CANCELLED -> {
                waiting.spec().dependencies().stream()
                        .filter(this::cancelled)
                        .findFirst()
                        .ifPresent(next::cancelWithDependency);
                LOG.info("{} is cancelled with a job that it needs", next.jobId());
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
                if (verdicts.put(dependent.jobId(), Verdict.CANCELLED) == null) {
                    cancelled.add(dependent.jobId());
                }
            }
        }
    }

    private boolean cancelled(String jobId) {
        JobTable.Entry live = jobs.get(jobId);
        if (live != null) {
            return live.cancelled() || verdicts.get(jobId) == Verdict.CANCELLED;
        }
        TerminalRecord record = records.get(jobId);
        return record != null && !record.done();
    }

    /** True when the records of all prerequisites say done; those of jobs that are no longer live are asked for. */
    private boolean allDone(Pipeline waiting) {
        boolean all = true;
        for (String jobId : waiting.spec().dependencies()) {
            TerminalRecord record = records.get(jobId);
            if (record == null) {
                all = false;
                if (jobs.get(jobId) == null) {
                    readRecord(jobId);
                }
            }
        }
        return all;
    }

    private void readRecord(String jobId) {
        if (!reading.add(jobId)) {
            return;
        }
        long mine = term;
        store.acquireWithDebt(0);
        store.get(JobKeys.terminal(jobId), read -> {
            if (term != mine) {
                return;
            }
            if (read.answered() && read.value().exists()) {
                reading.remove(jobId);
                records.put(jobId, TerminalRecord.decode(read.value().value()));
                onChange.run();
                return;
            }
            // No answer, or the job's own value has not come with the watch yet.
            loop.after(Constants.Time.RETRY_MS, () -> {
                if (term == mine) {
                    reading.remove(jobId);
                    onChange.run();
                }
            });
        });
    }

    /** From the highest priority down, so that each job is visited once. */
    private void inheritPriorities(List<JobTable.Entry> waiting) {
        List<Pipeline> byPriority = new ArrayList<>();
        for (JobTable.Entry entry : waiting) {
            if (!entry.cancelled() && verdictOf(entry.committed()) != Verdict.CANCELLED) {
                byPriority.add(entry.committed());
            }
        }
        byPriority.sort(
                Comparator.comparing((Pipeline p) -> p.spec().priority()).reversed());
        for (Pipeline from : byPriority) {
            Deque<String> needed = new ArrayDeque<>(from.spec().dependencies());
            while (!needed.isEmpty()) {
                String jobId = needed.remove();
                JobTable.Entry live = jobs.get(jobId);
                if (live != null && inherited.putIfAbsent(jobId, from.spec().priority()) == null) {
                    needed.addAll(live.committed().spec().dependencies());
                }
            }
        }
    }
}
