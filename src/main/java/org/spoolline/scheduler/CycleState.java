package org.spoolline.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.job.JobEntry;
import org.spoolline.pipeline.Pipeline;

/** What one scheduling cycle works on: the jobs that take part in the plan, and the values to be written. */
final class CycleState {
    private final Map<String, Pipeline> workingJobs = new LinkedHashMap<>();
    private final Map<String, PendingWrite> pendingWrites = new LinkedHashMap<>();

    /** Adds a job to the plan's input, unless it waits for dependencies: such a job has no task to place. */
    void addJob(Pipeline job) {
        if (!job.hasUnsatisfiedDependencies()) {
            workingJobs.put(job.jobId(), job);
        }
    }

    /** Records that the job's value is to be replaced by {@code next}. */
    void addWrite(JobEntry entry, Pipeline next) {
        pendingWrites.put(next.jobId(), new PendingWrite(entry, next));
    }

    /** Jobs that take part in the plan as they will be after this cycle's reconciliation, by id. */
    Map<String, Pipeline> workingJobs() {
        return workingJobs;
    }

    /** Values to be written, by job id. */
    Map<String, PendingWrite> pendingWrites() {
        return pendingWrites;
    }
}
