package org.spoolline.scheduler;

import java.util.List;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.election.LeaderElection;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.job.JobWatcher;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * Determines why this leader places no tasks, as far as its own state shows. It iterates over all jobs and machines, so
 * callers run it rarely.
 */
final class StallInspector {
    private final LeaderElection election;
    private final MachineTypeCatalog catalog;
    private final JobTable jobs;
    private final JobWatcher jobWatcher;
    private final PipelineWriter writer;

    StallInspector(
            LeaderElection election,
            MachineTypeCatalog catalog,
            JobTable jobs,
            JobWatcher jobWatcher,
            PipelineWriter writer) {
        this.election = election;
        this.catalog = catalog;
        this.jobs = jobs;
        this.jobWatcher = jobWatcher;
        this.writer = writer;
    }

    /**
     * Returns the current situation: the first stall reason that applies, the waiting jobs and the free capacity.
     *
     * @param schedulableMachines machines that send heartbeats and accept tasks
     * @param lastCycleFailed     true when the last scheduling cycle failed
     * @param lastPlanFailed      true when the planner failed in the last scheduling cycle
     */
    StallMonitor.Situation inspect(List<Machine> schedulableMachines, boolean lastCycleFailed, boolean lastPlanFailed) {
        int dependentJobs = 0;
        int readyJobs = 0;
        for (JobEntry entry : jobs.entries()) {
            Pipeline job = entry.committed();
            if (entry.cancelled()) {
                continue;
            }
            if (job.hasUnsatisfiedDependencies()) {
                dependentJobs++;
            } else if (job.unplacedTaskCount() > 0) {
                readyJobs++;
            }
        }
        StallMonitor.Reason reason = reason(readyJobs, schedulableMachines.isEmpty(), lastCycleFailed, lastPlanFailed);
        double freeCores =
                schedulableMachines.stream().mapToDouble(this::freeCores).sum();
        return new StallMonitor.Situation(reason, dependentJobs + readyJobs, schedulableMachines.size(), freeCores);
    }

    private StallMonitor.Reason reason(
            int readyJobs, boolean noSchedulableMachine, boolean lastCycleFailed, boolean lastPlanFailed) {
        if (!election.hasValidLease()) {
            return StallMonitor.Reason.LEASE_EXPIRED;
        }
        if (!jobWatcher.loaded()) {
            return StallMonitor.Reason.JOBS_UNREAD;
        }
        if (lastCycleFailed) {
            return StallMonitor.Reason.CYCLES_FAIL;
        }
        if (lastPlanFailed) {
            return StallMonitor.Reason.PLANS_FAIL;
        }
        if (readyJobs == 0) {
            return StallMonitor.Reason.UNSATISFIED_DEPENDENCIES;
        }
        if (noSchedulableMachine) {
            return StallMonitor.Reason.NO_SCHEDULABLE_MACHINE;
        }
        return writer.isIdle() ? StallMonitor.Reason.NO_CAPACITY_OR_QUOTA : StallMonitor.Reason.WRITES_BLOCKED;
    }

    private double freeCores(Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        double free = type == null ? 0 : type.cores();
        for (AttemptId attemptId : jobs.attemptsOn(machine.name()).keySet()) {
            free -= jobs.get(attemptId.jobId()).committed().spec().cores();
        }
        return Math.max(0, free);
    }
}
