package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.spoolline.cluster.Machine;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;

/** The attempts that may be preempted, by machine. They are collected once, when the first job needs preemption. */
final class Victims {
    private final ClusterSnapshot snapshot;
    private final Map<String, List<Victim>> byMachine = new HashMap<>();
    private final Map<String, Double> lossPerCore = new HashMap<>();
    private boolean collected;

    Victims(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
    }

    /** Collects the attempts of preemptible jobs that match the predicate; does nothing after the first call. */
    void collect(Predicate<Pipeline> matching) {
        if (collected) {
            return;
        }
        collected = true;
        for (Pipeline job : snapshot.jobs()) {
            if (isPreemptible(job) && matching.test(job)) {
                collect(job);
            }
        }
    }

    /**
     * Excludes gangs of several members, since preempting one member loses the work of all, and cancelled jobs, whose
     * attempts stop anyway.
     */
    private static boolean isPreemptible(Pipeline job) {
        boolean severalMembers = job.spec().gang() && job.spec().tasks() > 1;
        return !severalMembers && !job.cancelled();
    }

    private void collect(Pipeline job) {
        for (Attempt attempt : snapshot.occupyingAttempts(job)) {
            Machine machine = snapshot.machinesByName().get(attempt.machine());
            if (machine != null) {
                byMachine
                        .computeIfAbsent(attempt.machine(), name -> new ArrayList<>())
                        .add(Victim.of(job, attempt, machine, snapshot.now()));
            }
        }
    }

    /** The victims on a machine; empty when there are none. */
    List<Victim> onMachine(String machine) {
        return byMachine.getOrDefault(machine, List.of());
    }

    /**
     * Average loss per core, in seconds, of preempting all tasks with checkpoints on a machine that has victims; 0 if
     * none of them has checkpoints. The first call for a machine also sorts its victims by loss per core, ascending.
     */
    double lossPerCore(String machine) {
        return lossPerCore.computeIfAbsent(machine, this::sortAndAverage);
    }

    private double sortAndAverage(String machine) {
        List<Victim> victims = byMachine.get(machine);
        victims.sort(Comparator.comparingDouble(v -> v.loss() / v.spec().cores()));
        double loss = 0;
        double cores = 0;
        for (Victim victim : victims) {
            if (victim.spec().checkpoints()) {
                loss += victim.loss();
                cores += victim.spec().cores();
            }
        }
        return cores == 0 ? 0 : loss / cores;
    }
}
