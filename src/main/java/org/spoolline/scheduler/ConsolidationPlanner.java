package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Decides which machines to evacuate while no job waits for capacity, so that they can be released. After a burst of
 * jobs, a few long tasks are left on each of many machines, all of which are paid for.
 *
 * <p>Tasks with checkpoints move to machines that have their image and stay in use anyway. As many cores as jobs have
 * requested recently are left free. A plan depends on its snapshot only.
 */
final class ConsolidationPlanner {
    /** An attempt that occupies capacity, with its job. */
    private record RunningTask(Pipeline job, Attempt attempt) {
        Submission spec() {
            return job.spec();
        }
    }

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;
    private final Map<String, List<RunningTask>> tasksByMachine = new HashMap<>();
    private final Set<String> evacuatedMachines = new LinkedHashSet<>();
    private final Set<String> receivingMachines = new LinkedHashSet<>();

    private ConsolidationPlanner(ClusterSnapshot snapshot, List<SchedulableMachine> machines) {
        this.snapshot = snapshot;
        this.machines = machines;
    }

    /**
     * Returns the names of the machines to evacuate.
     *
     * @param machines schedulable machines, with the capacity of all attempts allocated; capacity for moved tasks is
     *     allocated on them in addition
     */
    static Set<String> machinesToEvacuate(ClusterSnapshot snapshot, List<SchedulableMachine> machines) {
        return new ConsolidationPlanner(snapshot, machines).evacuate();
    }

    private Set<String> evacuate() {
        double spareCores = spareCores();
        if (spareCores <= 0) {
            return Set.of();
        }
        collectTasks();
        List<SchedulableMachine> targets = targets();
        for (SchedulableMachine source : sources()) {
            boolean isTarget = receivingMachines.contains(source.name());
            if (source.type().cores() <= spareCores && !isTarget && moveTasks(source, targets)) {
                spareCores -= source.type().cores();
            }
        }
        return evacuatedMachines;
    }

    /** Free cores beyond those that are kept free for the next jobs. */
    private double spareCores() {
        double free = machines.stream().mapToDouble(SchedulableMachine::cores).sum();
        return free - ClusterSnapshot.recentlyRequestedCores(snapshot.jobs(), snapshot.timeOfDay());
    }

    private void collectTasks() {
        for (Pipeline job : snapshot.jobs()) {
            for (Attempt attempt : snapshot.occupyingAttempts(job)) {
                tasksByMachine
                        .computeIfAbsent(attempt.machine(), name -> new ArrayList<>())
                        .add(new RunningTask(job, attempt));
            }
        }
    }

    /** The machines worth evacuating, lowest utilization first, limited to as many as one cycle may try. */
    private List<SchedulableMachine> sources() {
        List<SchedulableMachine> sources = new ArrayList<>();
        for (SchedulableMachine machine : machines) {
            if (!machine.isReserved() && isWorthEvacuating(machine)) {
                sources.add(machine);
            }
        }
        sources.sort(
                Comparator.comparingDouble(SchedulableMachine::utilization).thenComparing(SchedulableMachine::name));
        return sources.subList(0, Math.min(sources.size(), Constants.Placement.CONSOLIDATION_CANDIDATES_MAX));
    }

    /** The machines that run tasks and have free cores, highest utilization first. */
    private List<SchedulableMachine> targets() {
        List<SchedulableMachine> targets = new ArrayList<>();
        for (SchedulableMachine machine : machines) {
            if (!machine.isReserved()
                    && machine.cores() >= Constants.Placement.EPSILON
                    && tasksByMachine.containsKey(machine.name())) {
                targets.add(machine);
            }
        }
        targets.sort(Comparator.comparingDouble(SchedulableMachine::utilization)
                .reversed()
                .thenComparing(SchedulableMachine::name));
        return targets;
    }

    /** True when utilization is at most half and all tasks on the machine can be moved. */
    private boolean isWorthEvacuating(SchedulableMachine machine) {
        List<RunningTask> tasks = tasksByMachine.getOrDefault(machine.name(), List.of());
        return !tasks.isEmpty()
                && machine.utilization() <= Constants.Placement.CONSOLIDATION_UTILIZATION_MAX
                && tasks.stream().allMatch(this::canBeMoved);
    }

    /** True for a task with checkpoints, not of a gang, whose run time so far and remaining run time justify a move. */
    private boolean canBeMoved(RunningTask task) {
        Submission spec = task.spec();
        Machine machine = snapshot.machinesByName().get(task.attempt().machine());
        AttemptId attemptId = AttemptId.of(task.job().jobId(), task.attempt());
        double runTimeS = machine.observedRunMs(attemptId, snapshot.now()) / 1000.0;
        return !spec.gang()
                && spec.checkpoints()
                && !task.job().cancelled()
                && runTimeS >= Constants.Placement.CONSOLIDATION_MIN_RUN_S
                && spec.estimateS() - runTimeS >= Constants.Placement.CONSOLIDATION_MIN_REMAINING_S;
    }

    /** Allocates capacity on the targets for all tasks of the source; false, without effect, when one does not fit. */
    private boolean moveTasks(SchedulableMachine source, List<SchedulableMachine> targets) {
        Map<SchedulableMachine, List<Submission>> moved = new HashMap<>();
        for (RunningTask task : tasksByMachine.get(source.name())) {
            Optional<SchedulableMachine> target = targetFor(task, source, targets);
            if (target.isEmpty()) {
                moved.forEach((machine, jobs) -> jobs.forEach(machine::release));
                return false;
            }
            target.get().allocate(task.spec());
            moved.computeIfAbsent(target.get(), machine -> new ArrayList<>()).add(task.spec());
        }
        evacuatedMachines.add(source.name());
        moved.keySet().forEach(machine -> receivingMachines.add(machine.name()));
        return true;
    }

    private Optional<SchedulableMachine> targetFor(
            RunningTask task, SchedulableMachine source, List<SchedulableMachine> targets) {
        Submission spec = task.spec();
        if (spec.spreadAcrossZones()) {
            return Optional.empty();
        }
        for (SchedulableMachine target : targets) {
            boolean zoneAllowed = !spec.singleZone() || target.zone().equals(source.zone());
            if (target != source
                    && zoneAllowed
                    && !evacuatedMachines.contains(target.name())
                    && target.accepts(task.job())
                    && target.fits(spec)
                    && target.hasImage(spec)) {
                return Optional.of(target);
            }
        }
        return Optional.empty();
    }
}
