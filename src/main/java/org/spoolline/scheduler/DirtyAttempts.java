package org.spoolline.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.job.JobTable;
import org.spoolline.pipeline.Attempt;

/**
 * Attempts that have to be reconciled because a heartbeat of their machine reported a change. An attempt stays dirty
 * until a write of its job is sent or the reconciliation leaves the job unchanged. If the write is abandoned, all
 * attempts of the job become dirty again.
 */
final class DirtyAttempts {
    private final JobTable jobs;
    private final ImageTracker images;
    /** Machines whose heartbeats reported a change since the last cycle. */
    private final Set<Machine> changedMachines = new LinkedHashSet<>();

    private final Map<String, Set<Attempt>> byJob = new HashMap<>();

    DirtyAttempts(JobTable jobs, ImageTracker images) {
        this.jobs = jobs;
        this.images = images;
    }

    /** Clears the state of the previous term. */
    void clear() {
        changedMachines.clear();
        byJob.clear();
    }

    /** Records that a heartbeat reported a change on the machine. */
    void machineChanged(Machine machine) {
        changedMachines.add(machine);
    }

    /**
     * Marks as dirty all attempts on the machines that changed since the previous call, and updates their cached
     * images.
     */
    void markOnChangedMachines() {
        for (Machine machine : changedMachines) {
            jobs.attemptsOn(machine.name()).forEach((attemptId, attempt) -> {
                getOrCreate(attemptId.jobId()).add(attempt);
                images.recordReportedTask(machine, attemptId);
            });
        }
        changedMachines.clear();
    }

    /** Returns the job's dirty attempts; empty when there are none. */
    Set<Attempt> attemptsOf(String jobId) {
        return byJob.getOrDefault(jobId, Set.of());
    }

    /** Marks the given attempts of the job as dirty. */
    void markDirty(String jobId, Collection<Attempt> attempts) {
        getOrCreate(jobId).addAll(attempts);
    }

    /** Marks all attempts of the job as clean. */
    void markClean(String jobId) {
        byJob.remove(jobId);
    }

    private Set<Attempt> getOrCreate(String jobId) {
        return byJob.computeIfAbsent(jobId, id -> new HashSet<>());
    }
}
