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
 * The attempts that have to be reconciled: their machine has reported a change, and no write of their job has covered it
 * since. An attempt stays dirty until its job is written or turns out to be unaffected.
 */
final class DirtyAttempts {
    private final JobTable jobs;
    private final ImageTracker images;
    /** Machines whose heartbeats have shown a change since the last cycle. */
    private final Set<Machine> changedMachines = new LinkedHashSet<>();

    private final Map<String, Set<Attempt>> byJob = new HashMap<>();

    DirtyAttempts(JobTable jobs, ImageTracker images) {
        this.jobs = jobs;
        this.images = images;
    }

    /** Forgets everything of an earlier term. */
    void clear() {
        changedMachines.clear();
        byJob.clear();
    }

    /** Records that a heartbeat of the machine has shown a change. */
    void machineChanged(Machine machine) {
        changedMachines.add(machine);
    }

    /** Marks the attempts on all machines that have changed since the last call. */
    void markOnChangedMachines() {
        for (Machine machine : changedMachines) {
            jobs.attemptsOn(machine.name()).forEach((attemptId, attempt) -> {
                getOrCreate(attemptId.jobId()).add(attempt);
                images.recordReportedTask(machine, attemptId);
            });
        }
        changedMachines.clear();
    }

    /** The job's dirty attempts. */
    Set<Attempt> attemptsOf(String jobId) {
        return byJob.getOrDefault(jobId, Set.of());
    }

    /** Marks these attempts of the job. */
    void markDirty(String jobId, Collection<Attempt> attempts) {
        getOrCreate(jobId).addAll(attempts);
    }

    /** Marks no attempt of the job as dirty any longer. */
    void markClean(String jobId) {
        byJob.remove(jobId);
    }

    private Set<Attempt> getOrCreate(String jobId) {
        return byJob.computeIfAbsent(jobId, id -> new HashSet<>());
    }
}
