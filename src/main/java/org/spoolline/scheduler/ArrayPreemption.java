package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.spoolline.cluster.Capacity;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Selects the tasks with checkpoints to evict for an array job that is within its team's guaranteed share. */
final class ArrayPreemption {
    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;
    private final Victims victims;
    private final FairShares fairShares;
    /** For each team, the cores in use beyond its guaranteed share, less those of the victims selected so far. */
    private final Map<String, Double> coresBeyondShare;

    /** Reads the teams' usage at construction, so it must be created after all placements of the pass are made. */
    ArrayPreemption(
            ClusterSnapshot snapshot, List<SchedulableMachine> machines, Victims victims, FairShares fairShares) {
        this.snapshot = snapshot;
        this.machines = machines;
        this.victims = victims;
        this.fairShares = fairShares;
        coresBeyondShare = fairShares.coresBeyondShare();
    }

    /**
     * Returns machines with the victims to evict there, for up to {@code tasks} tasks of the job; empty when there are
     * no victims, or when the job requires a single zone or a spread across zones.
     */
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

    /** Machines with victims, ordered by the sum of image fetch time and lost work per core. */
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

    /** Releases victims into {@code free} until it has cores for {@code tasks} tasks; returns the victims released. */
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

    /** True when the victim's team is not the job's and would keep its guaranteed share without the victim's cores. */
    private boolean isBeyondShare(Pipeline job, Pipeline victim) {
        String team = victim.spec().team();
        return !team.equals(job.spec().team())
                && coresBeyondShare.getOrDefault(team, 0.0) >= victim.spec().cores();
    }
}
