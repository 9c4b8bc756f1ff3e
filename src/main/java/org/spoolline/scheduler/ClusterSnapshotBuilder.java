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

/** Builds the input of a plan from the leader's tables. */
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
     * Builds a snapshot of the present moment.
     *
     * @param workingJobs    jobs that take part in the plan, by id
     * @param fullJobs       jobs whose value can't take more attempts for now
     * @param mayConsolidate true when the plan may evacuate machines
     */
    ClusterSnapshot build(Map<String, Pipeline> workingJobs, JobPauses fullJobs, boolean mayConsolidate) {
        Map<String, List<Attempt>> holding = new HashMap<>();
        Set<String> placeable = new HashSet<>();
        for (Map.Entry<String, Pipeline> working : workingJobs.entrySet()) {
            String jobId = working.getKey();
            JobEntry entry = jobs.get(jobId);
            if (entry.inFlight()) {
                holding.put(jobId, committedAndProposedAttempts(entry));
            } else if (canTakeTasks(working.getValue()) && !fullJobs.isPaused(jobId)) {
                placeable.add(jobId);
            }
        }
        return new ClusterSnapshot(
                List.copyOf(workingJobs.values()),
                holding,
                placeable,
                machines.byName(),
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()),
                reservations.jobsByMachine(),
                reservations.gangsPreemptedForImage(),
                dependencies.inheritedPriorities(),
                catalog.types(),
                settings,
                mayConsolidate,
                loop.timeOfDay(),
                loop.now());
    }

    /** While a write is in flight either value may be the stored one, so the attempts of both occupy capacity. */
    private static List<Attempt> committedAndProposedAttempts(JobEntry entry) {
        Set<Attempt> union = new HashSet<>(entry.committed().attempts());
        union.addAll(entry.proposed().attempts());
        return List.copyOf(union);
    }

    /**
     * A gang that lacks members is completed once those it has wait with their image, so that none waits long. A machine
     * that still reports an ended member would take the next launch of the same attempt number for a repetition.
     */
    private boolean canTakeTasks(Pipeline job) {
        if (!job.spec().gang() || job.attempts().isEmpty()) {
            return true;
        }
        return allMembersWait(job) && noReservedMachineReportsExited(job.jobId());
    }

    private boolean allMembersWait(Pipeline gang) {
        for (Attempt attempt : gang.attempts()) {
            if (phases.lastReported(gang.jobId(), attempt) != TaskStatus.Phase.WAITING_FOR_GANG) {
                return false;
            }
        }
        return true;
    }

    private boolean noReservedMachineReportsExited(String jobId) {
        for (String name : reservations.machinesOf(jobId)) {
            Machine machine = machines.get(name);
            if (machine != null && !machine.terminated() && reportsExited(machine, jobId)) {
                return false;
            }
        }
        return true;
    }

    private static boolean reportsExited(Machine machine, String jobId) {
        for (TaskStatus status : machine.tasks().values()) {
            if (status.phase() == TaskStatus.Phase.EXITED && status.jobId().equals(jobId)) {
                return true;
            }
        }
        return false;
    }
}
