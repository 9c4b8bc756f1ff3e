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
 * The leader's view of the dependencies between jobs. Each cycle derives it from the live jobs and from the terminal
 * records of their dependencies; it is not stored.
 *
 * <p>A dependency counts as satisfied only by a terminal record that this leader read from the key-value store or whose
 * write the store confirmed. Terminal records never change, so the dependency remains satisfied after a failover.
 */
final class DependencyTracker {
    private static final Logger LOG = LoggerFactory.getLogger(DependencyTracker.class);

    /** Combined state of the dependencies of a job that waits for them. */
    enum Status {
        /** The outcome of at least one dependency is not known yet; the job keeps waiting. */
        UNSATISFIED,
        /** All dependencies are done; the tasks of the job may start. */
        SATISFIED,
        /**
         * At least one dependency was cancelled, by a user or because of its own dependencies; the job is cancelled.
         */
        CANCELLED
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final JobTable jobs;
    private final Runnable onChange;
    private long term;
    /** Known terminal records of dependencies, by job id. */
    private final Map<String, TerminalRecord> terminalRecords = new HashMap<>();
    /** Ids of the jobs whose terminal record is being read. */
    private final Set<String> readsInFlight = new HashSet<>();
    /** Waiting jobs by the id of each of their dependencies. */
    private final Map<String, List<Pipeline>> dependents = new HashMap<>();

    /** Status of waiting jobs by job id; {@link Status#UNSATISFIED} is not stored. */
    private final Map<String, Status> statuses = new HashMap<>();

    private final Map<String, Submission.Priority> inheritedPriorities = new HashMap<>();

    DependencyTracker(EventLoop loop, KeyValueStoreClient store, JobTable jobs, Runnable onChange) {
        this.loop = loop;
        this.store = store;
        this.jobs = jobs;
        this.onChange = onChange;
    }

    /**
     * Starts a term with empty state. Responses to reads of earlier terms are ignored.
     *
     * @param token fencing token of the term; {@link Scheduler#NO_TERM} when this node is no longer the leader
     */
    void beginTerm(long token) {
        term = token;
        terminalRecords.clear();
        readsInFlight.clear();
        dependents.clear();
        statuses.clear();
        inheritedPriorities.clear();
    }

    /** Records that the key-value store confirmed the write of a job's terminal record. */
    void terminalRecordStored(String jobId, TerminalRecord record) {
        terminalRecords.put(jobId, record);
    }

    /** Recomputes the status of each waiting job, and starts to read terminal records that are missing. */
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

    /** Returns the status of a job that waits for dependencies, as of the last {@link #refresh}. */
    Status statusOf(Pipeline waiting) {
        return statuses.getOrDefault(waiting.jobId(), Status.UNSATISFIED);
    }

    /** Returns a copy of the job's value in which its dependencies are satisfied or it is cancelled, by its status. */
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

    /**
     * Returns, by job id, the highest priority among the waiting jobs that depend on the job directly or transitively.
     */
    Map<String, Submission.Priority> inheritedPriorities() {
        return inheritedPriorities;
    }

    /**
     * Marks all direct and transitive dependents of cancelled jobs as cancelled, so that a dependency chain of any
     * length is cancelled in one cycle.
     */
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

    /**
     * True when the terminal records of all dependencies are known; {@link #cancelDependents} has already handled the
     * cancelled ones. Starts to read missing records of jobs that are no longer live.
     */
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
            // The store did not respond, or the dependency is still live and the watch has not delivered its value yet.
            // Reading is retried in both cases.
            loop.after(Constants.Time.RETRY_MS, () -> {
                if (term == readTerm) {
                    readsInFlight.remove(jobId);
                    onChange.run();
                }
            });
        });
    }

    /**
     * Propagates the priorities of waiting jobs to their dependencies, from the highest priority to the lowest, so that
     * each dependency is visited only once.
     */
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
