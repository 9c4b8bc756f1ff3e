package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.spoolline.cluster.Capacity;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Chooses the tasks with checkpoints that make way for an array within its team's guaranteed share. */
final class ArrayPreemption {
    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;
    private final Victims victims;
    private final FairShares fairShares;
    /** By team: cores in use beyond its guaranteed share, less those of the victims chosen so far. */
    private final Map<String, Double> coresBeyondShare;

    /** Counts usage as it is now: it is created once all placements of the pass are decided. */
    ArrayPreemption(
            ClusterSnapshot snapshot, List<SchedulableMachine> machines, Victims victims, FairShares fairShares) {
        this.snapshot = snapshot;
        this.machines = machines;
        this.victims = victims;
        this.fairShares = fairShares;
        coresBeyondShare = fairShares.coresBeyondShare();
    }

    /** Machines with victims for up to so many tasks; empty when there are none or the job has zone constraints. */
    List<Victim.OnMachine> choose(Pipeline job, int tasks) {
        Submission spec = job.spec();
        if (spec.singleZone() || spec.spreadAcrossZones()) {
            return List.of();
        }
        List<Victim.OnMachine> chosen = new ArrayList<>();
        int tasksWithCapacity = 0;
        for (SchedulableMachine machine : candidates(job)) {
            if (tasksWithCapacity >= tasks) {
                break;
            }
            Capacity free = machine.copy();
            List<Victim> evicted = evict(job, machine, free, tasks - tasksWithCapacity);
            int fitting = fittingTasks(spec, free, tasks);
            if (!evicted.isEmpty() && fitting > 0) {
                chosen.add(new Victim.OnMachine(machine, evicted, 0));
                tasksWithCapacity += fitting;
            }
        }
        return chosen;
    }

    /** Machines with victims, those with the shortest image fetch and the least loss first. */
    private List<SchedulableMachine> candidates(Pipeline job) {
        List<SchedulableMachine> candidates = new ArrayList<>();
        for (SchedulableMachine machine : machines) {
            if (!machine.isReserved()
                    && machine.accepts(job)
                    && !victims.onMachine(machine.name()).isEmpty()) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparingDouble(
                machine -> machine.imageFetchS(job.spec()) + victims.lossPerCore(machine.name())));
        return candidates;
    }

    /** Releases victims on the machine into {@code free} until it has the cores for so many tasks; returns them. */
    private List<Victim> evict(Pipeline job, SchedulableMachine machine, Capacity free, int tasks) {
        List<Victim> evicted = new ArrayList<>();
        for (Victim victim : victims.onMachine(machine.name())) {
            if (Math.floor(free.cores() / job.spec().cores()) >= tasks) {
                break;
            }
            if (victim.spec().checkpoints() && mayPreempt(job, victim.job())) {
                evicted.add(victim);
                free.release(victim.spec());
                coresBeyondShare.merge(victim.spec().team(), -victim.spec().cores(), Double::sum);
            }
        }
        return evicted;
    }

    private static int fittingTasks(Submission job, Capacity free, int tasks) {
        double byCores = Math.floor(free.cores() / job.cores() + Constants.Placement.EPSILON);
        double byMemory =
                job.memoryGb() > 0 ? Math.floor(free.memoryGb() / job.memoryGb() + Constants.Placement.EPSILON) : tasks;
        return (int) Math.min(byCores, byMemory);
    }

    private boolean mayPreempt(Pipeline job, Pipeline victim) {
        if (victim.spec().gang() || victim.jobId().equals(job.jobId()) || fairShares.isWithinShare(victim)) {
            return false;
        }
        boolean lowerPriority = snapshot.priority(victim).compareTo(snapshot.priority(job)) < 0;
        return lowerPriority || isBeyondShare(job, victim);
    }

    /** True when the victim's team, another one than the job's, uses the victim's cores beyond its guaranteed share. */
    private boolean isBeyondShare(Pipeline job, Pipeline victim) {
        String team = victim.spec().team();
        return !team.equals(job.spec().team())
                && coresBeyondShare.getOrDefault(team, 0.0) >= victim.spec().cores();
    }
}
