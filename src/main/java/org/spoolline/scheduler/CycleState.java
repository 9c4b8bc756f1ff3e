package org.spoolline.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.job.JobEntry;
import org.spoolline.pipeline.Pipeline;

/** What one scheduling cycle works on: the jobs that take part in the plan, and the values to be written. */
final class CycleState {
    private final Map<String, Pipeline> jobsToPlan = new LinkedHashMap<>();
    private final Map<String, PendingWrite> pendingWrites = new LinkedHashMap<>();

    /** Adds a job to the plan's input, unless it waits for dependencies: such a job has no task to place. */
    void addJob(Pipeline job) {
        if (!job.hasUnsatisfiedDependencies()) {
            jobsToPlan.put(job.jobId(), job);
        }
    }

    /** Records that the job's value is to be replaced by {@code proposed}. */
    void addWrite(JobEntry entry, Pipeline proposed) {
        pendingWrites.put(proposed.jobId(), new PendingWrite(entry, proposed));
    }

    /** Jobs that take part in the plan as they will be after this cycle's reconciliation, by id. */
    Map<String, Pipeline> jobsToPlan() {
        return jobsToPlan;
    }

    /** Values to be written, by job id. */
    Map<String, PendingWrite> pendingWrites() {
        return pendingWrites;
    }
}
