package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.Set;
import org.spoolline.autoscaler.Autoscaler;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.net.EventLoop;

/** Passes a plan's unmet demand to the autoscaler, with the machines that it has to keep. */
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

    /** Scales out for the plan's demands and in where no work is or is expected. */
    void scale(SchedulingPlan plan, CycleState state) {
        Set<String> expectingWork = machinesOfProposedAttempts();
        expectingWork.addAll(plan.accumulatingMachines());
        reservations.addMachinesTo(expectingWork);
        double recentCores =
                ClusterSnapshot.recentlyRequestedCores(state.jobsToPlan().values(), loop.timeOfDay());
        autoscaler.reconcile(
                plan.demands(), recentCores, name -> jobs.hasAttemptsOn(name) || expectingWork.contains(name));
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
