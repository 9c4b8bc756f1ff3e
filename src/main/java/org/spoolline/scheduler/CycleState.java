package org.spoolline.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.job.JobEntry;
import org.spoolline.pipeline.Pipeline;

/** State of one scheduling cycle: the jobs to plan for and the values to write. */
final class CycleState {
    private final Map<String, Pipeline> jobsToPlan = new LinkedHashMap<>();
    private final Map<String, PendingWrite> pendingWrites = new LinkedHashMap<>();

    /** Adds a job to the planner's input unless it waits for dependencies; such a job has no task to place yet. */
    void addJob(Pipeline job) {
        if (!job.hasUnsatisfiedDependencies()) {
            jobsToPlan.put(job.jobId(), job);
        }
    }

    /** Records that this cycle has to write {@code proposed} in place of the job's committed value. */
    void addWrite(JobEntry entry, Pipeline proposed) {
        pendingWrites.put(proposed.jobId(), new PendingWrite(entry, proposed));
    }

    /** Jobs to plan for, by id, with the changes that this cycle's reconciliation made to them. */
    Map<String, Pipeline> jobsToPlan() {
        return jobsToPlan;
    }

    /** Values that this cycle has to write, by job id. */
    Map<String, PendingWrite> pendingWrites() {
        return pendingWrites;
    }
}
