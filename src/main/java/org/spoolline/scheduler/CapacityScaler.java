package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.spoolline.autoscaler.Autoscaler;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.net.EventLoop;

/** Passes a plan's unmet demand to the autoscaler, together with the machines that must not be released. */
final class CapacityScaler {
    private final EventLoop loop;
    private final JobTable jobs;
    private final Reservations reservations;
    private final Autoscaler autoscaler;

    CapacityScaler(EventLoop loop, JobTable jobs, Reservations reservations, Autoscaler autoscaler) {
        this.loop = loop;
        this.jobs = jobs;
        this.reservations = reservations;
        this.autoscaler = autoscaler;
    }

    /** Scales out for the plan's demands, and in where machines neither have work nor are expected to get any. */
    void scale(SchedulingPlan plan, CycleState state) {
        Set<String> machinesExpectingWork = machinesOfProposedAttempts();
        machinesExpectingWork.addAll(plan.accumulating());
        reservations.addMachinesTo(machinesExpectingWork);
        double recentDemandCores =
                ClusterSnapshot.recentlyRequestedCores(state.workingJobs().values(), loop.timeOfDay());
        autoscaler.reconcile(
                plan.demands(),
                recentDemandCores,
                name -> jobs.hasAttemptsOn(name) || machinesExpectingWork.contains(name));
    }

    private Set<String> machinesOfProposedAttempts() {
        Set<String> names = new HashSet<>();
        for (JobEntry entry : jobs.entries()) {
            if (entry.inFlight()) {
                entry.proposed().attempts().forEach(attempt -> names.add(attempt.machine()));
            }
        }
        return names;
    }
}
