package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Settings;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.reconcile.TaskPhases;

/** Builds the input of a planning pass from the leader's jobs, machines and reservations. */
final class ClusterSnapshotBuilder {
    private final EventLoop loop;
    private final Settings settings;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final TaskPhases phases;
    private final Reservations reservations;
    private final DependencyTracker dependencies;

    ClusterSnapshotBuilder(SchedulerContext context, TermState termState) {
        this.loop = context.loop();
        this.settings = context.settings();
        this.catalog = context.catalog();
        this.machines = context.machines();
        this.jobs = context.jobs();
        this.phases = termState.phases();
        this.reservations = termState.reservations();
        this.dependencies = termState.dependencies();
    }

    /**
     * Builds a snapshot of the current state.
     *
     * @param jobsToPlan        jobs to plan, by id
     * @param jobsWithFullValue jobs whose stored value has no space for more attempts at present
     * @param gangsToPack       ids of the gangs that have to be placed on few machines
     * @param mayConsolidate    true when the plan may evacuate machines
     */
    ClusterSnapshot build(
            Map<String, Pipeline> jobsToPlan,
            JobPauses jobsWithFullValue,
            Set<String> gangsToPack,
            boolean mayConsolidate) {
        Map<String, List<Attempt>> pendingWriteAttempts = new HashMap<>();
        Set<String> placeableJobs = new HashSet<>();
        for (Map.Entry<String, Pipeline> jobToPlan : jobsToPlan.entrySet()) {
            String jobId = jobToPlan.getKey();
            JobEntry entry = jobs.get(jobId);
            if (entry.inFlight()) {
                pendingWriteAttempts.put(jobId, committedAndProposedAttempts(entry));
            } else if (canPlaceTasks(jobToPlan.getValue()) && !jobsWithFullValue.isPaused(jobId)) {
                placeableJobs.add(jobId);
            }
        }
        return new ClusterSnapshot(
                List.copyOf(jobsToPlan.values()),
                pendingWriteAttempts,
                placeableJobs,
                gangsToPack,
                machines.byName(),
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()),
                reservations.reservedJobsByMachine(),
                reservations.gangsPreemptedForImage(),
                dependencies.inheritedPriorities(),
                catalog.types(),
                settings,
                mayConsolidate,
                loop.timeOfDay(),
                loop.now());
    }

    /** While a write is in flight, either value may be the stored one, so the attempts of both count as occupying. */
    private static List<Attempt> committedAndProposedAttempts(JobEntry entry) {
        Set<Attempt> union = new HashSet<>(entry.committed().attempts());
        union.addAll(entry.proposed().attempts());
        return List.copyOf(union);
    }

    /**
     * Missing members of a partly placed gang are placed only once all others have their image and wait for the gang,
     * which keeps that wait short. No machine reserved for the gang may still list an exited member: the worker would
     * treat a new launch with the same attempt number as a duplicate.
     */
    private boolean canPlaceTasks(Pipeline job) {
        if (!job.spec().gang() || job.attempts().isEmpty()) {
            return true;
        }
        return allMembersWaitForGang(job) && noReservedMachineListsExitedTask(job.jobId());
    }

    private boolean allMembersWaitForGang(Pipeline gang) {
        for (Attempt attempt : gang.attempts()) {
            if (phases.lastReported(gang.jobId(), attempt) != TaskStatus.Phase.WAITING_FOR_GANG) {
                return false;
            }
        }
        return true;
    }

    private boolean noReservedMachineListsExitedTask(String jobId) {
        for (String name : reservations.machinesReservedFor(jobId)) {
            Machine machine = machines.get(name);
            if (machine != null && !machine.terminated() && listsExitedTask(machine, jobId)) {
                return false;
            }
        }
        return true;
    }

    private static boolean listsExitedTask(Machine machine, String jobId) {
        for (TaskStatus status : machine.tasks().values()) {
            if (status.phase() == TaskStatus.Phase.EXITED && status.jobId().equals(jobId)) {
                return true;
            }
        }
        return false;
    }
}
