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
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * The leader's view of the dependencies between jobs, derived anew in each cycle from the live jobs and the terminal
 * records of their dependencies; nothing of it is stored. A job is released only on records that were read from the
 * key-value store or whose write it has confirmed. Records never change, so a release holds across failovers.
 */
final class DependencyTracker {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);

    /** What a cycle does with a job that waits for dependencies. */
    enum Status {
        /** It waits on: the outcome of some dependency is not known. */
        UNSATISFIED,
        /** It is released: all dependencies are done. */
        SATISFIED,
        /** It is cancelled: some dependency was cancelled, directly or with one of its own. */
        CANCELLED
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final JobTable jobs;
    private final Runnable onChange;
    private long term;
    /** Terminal records known of jobs that others depend on. */
    private final Map<String, TerminalRecord> terminalRecords = new HashMap<>();
    /** Jobs whose terminal record is being read. */
    private final Set<String> readsInFlight = new HashSet<>();
    /** Waiting jobs by each of their dependencies. */
    private final Map<String, List<Pipeline>> dependents = new HashMap<>();

    /** Statuses other than {@link Status#UNSATISFIED}. */
    private final Map<String, Status> statuses = new HashMap<>();

    private final Map<String, Submission.Priority> inheritedPriorities = new HashMap<>();

    DependencyTracker(EventLoop loop, KeyValueStoreClient store, JobTable jobs, Runnable onChange) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.onChange = onChange;
    }

    /** Begins the term of this token, or with 0 ends the present one; forgets everything read in an earlier term. */
    void beginTerm(long token) {
        term = token;
        terminalRecords.clear();
        readsInFlight.clear();
        dependents.clear();
        statuses.clear();
        inheritedPriorities.clear();
    }

    /** Records that the terminal record of a job is stored. */
    void terminalRecordStored(String jobId, TerminalRecord record) {
        terminalRecords.put(jobId, record);
    }

    /** Decides on every waiting job by what is known now, and reads the records that are missing. */
    void refresh() {
        dependents.clear();
        statuses.clear();
        inheritedPriorities.clear();
        List<JobEntry> waiting = new ArrayList<>();
        for (JobEntry entry : jobs.entries()) {
            if (entry.committed().hasUnsatisfiedDependencies()) {
                waiting.add(entry);
                for (String dependency : entry.committed().spec().dependencies()) {
                    dependents
                            .computeIfAbsent(dependency, id -> new ArrayList<>())
                            .add(entry.committed());
                }
            }
        }
        terminalRecords.keySet().retainAll(dependents.keySet());
        if (waiting.isEmpty()) {
            return;
        }
        cancelDependents();
        for (JobEntry entry : waiting) {
            if (statusOf(entry.committed()) == Status.UNSATISFIED && allDependenciesDone(entry.committed())) {
                statuses.put(entry.committed().jobId(), Status.SATISFIED);
            }
        }
        inheritPriorities(waiting);
    }

    /** The decision on a job that waits for dependencies, as of the last {@link #refresh}. */
    Status statusOf(Pipeline waiting) {
        return statuses.getOrDefault(waiting.jobId(), Status.UNSATISFIED);
    }

    /** The job's proposed value, with its status applied. */
    Pipeline applyStatus(Pipeline waiting) {
        Pipeline proposed = waiting.copy();
        switch (statusOf(waiting)) {
            case SATISFIED -> {
                proposed.satisfyDependencies(loop.timeOfDay());
                LOG.info("Dependencies satisfied: job={}", proposed.jobId());
            }
            case CANCELLED -> {
                waiting.spec().dependencies().stream()
                        .filter(this::isCancelled)
                        .findFirst()
                        .ifPresent(proposed::cancelWithDependency);
                LOG.info("Cancelled with a dependency: job={}", proposed.jobId());
            }
            case UNSATISFIED -> {}
        }
        return proposed;
    }

    /** By job, the highest priority among the waiting jobs that depend on it, directly or through others. */
    Map<String, Submission.Priority> inheritedPriorities() {
        return inheritedPriorities;
    }

    /** Goes from the cancelled jobs to all that depend on them: a chain of any length is cancelled in one cycle. */
    private void cancelDependents() {
        Deque<String> cancelled = new ArrayDeque<>();
        for (String dependency : dependents.keySet()) {
            if (isCancelled(dependency)) {
                cancelled.add(dependency);
            }
        }
        while (!cancelled.isEmpty()) {
            for (Pipeline dependent : dependents.getOrDefault(cancelled.remove(), List.of())) {
                if (statuses.put(dependent.jobId(), Status.CANCELLED) == null) {
                    cancelled.add(dependent.jobId());
                }
            }
        }
    }

    private boolean isCancelled(String jobId) {
        JobEntry live = jobs.get(jobId);
        if (live != null) {
            return live.cancelled() || statuses.get(jobId) == Status.CANCELLED;
        }
        TerminalRecord record = terminalRecords.get(jobId);
        return record != null && !record.done();
    }

    /** True when the records of all dependencies are known; those of jobs that are no longer live are read. */
    private boolean allDependenciesDone(Pipeline waiting) {
        boolean allDone = true;
        for (String jobId : waiting.spec().dependencies()) {
            TerminalRecord record = terminalRecords.get(jobId);
            if (record == null) {
                allDone = false;
                if (jobs.get(jobId) == null) {
                    readTerminalRecord(jobId);
                }
            }
        }
        return allDone;
    }

    private void readTerminalRecord(String jobId) {
        if (!readsInFlight.add(jobId)) {
            return;
        }
        long readTerm = term;
        store.acquireWithDebt(0);
        store.get(JobKeys.terminal(jobId), read -> {
            if (term != readTerm) {
                return;
            }
            if (read.answered() && read.value().exists()) {
                readsInFlight.remove(jobId);
                terminalRecords.put(jobId, TerminalRecord.decode(read.value().value()));
                onChange.run();
                return;
            }
            // No answer, or the watch has not delivered the live value of the dependency yet.
            loop.after(Constants.Time.RETRY_MS, () -> {
                if (term == readTerm) {
                    readsInFlight.remove(jobId);
                    onChange.run();
                }
            });
        });
    }

    /** Passes priorities on to dependencies, from the highest priority down so that each job is visited once. */
    private void inheritPriorities(List<JobEntry> waiting) {
        List<Pipeline> byPriority = new ArrayList<>();
        for (JobEntry entry : waiting) {
            if (!entry.cancelled() && statusOf(entry.committed()) != Status.CANCELLED) {
                byPriority.add(entry.committed());
            }
        }
        byPriority.sort(
                Comparator.comparing((Pipeline job) -> job.spec().priority()).reversed());
        for (Pipeline dependent : byPriority) {
            Deque<String> dependenciesToVisit =
                    new ArrayDeque<>(dependent.spec().dependencies());
            while (!dependenciesToVisit.isEmpty()) {
                String jobId = dependenciesToVisit.remove();
                JobEntry live = jobs.get(jobId);
                if (live != null
                        && inheritedPriorities.putIfAbsent(
                                        jobId, dependent.spec().priority())
                                == null) {
                    dependenciesToVisit.addAll(live.committed().spec().dependencies());
                }
            }
        }
    }
}
