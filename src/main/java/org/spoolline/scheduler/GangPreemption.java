package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.spoolline.cluster.Capacity;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Selects the machines to clear by preemption for an urgent gang, one machine for each of its tasks. */
final class GangPreemption {
    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;
    private final Victims victims;

    GangPreemption(ClusterSnapshot snapshot, List<SchedulableMachine> machines, Victims victims) {
        this.snapshot = snapshot;
        this.machines = machines;
        this.victims = victims;
    }

    /**
     * Returns the allowed machines that cost the least, one for each task of the gang, all in one zone if the gang
     * requires that; empty when there are too few machines.
     */
    List<Victim.OnMachine> choose(Pipeline gang, Predicate<SchedulableMachine> allowed) {
        if (!gang.spec().singleZone()) {
            return cheapest(gang, allowed);
        }
        Set<String> zones = new LinkedHashSet<>();
        machines.forEach(machine -> zones.add(machine.zone()));
        List<Victim.OnMachine> best = List.of();
        for (String zone : zones) {
            List<Victim.OnMachine> inZone =
                    cheapest(gang, machine -> machine.zone().equals(zone) && allowed.test(machine));
            if (!inZone.isEmpty() && (best.isEmpty() || totalCost(inZone) < totalCost(best))) {
                best = inZone;
            }
        }
        return best;
    }

    /** Total cost in core seconds of clearing these machines and of fetching the image there. */
    static double totalCost(List<Victim.OnMachine> chosen) {
        return chosen.stream().mapToDouble(Victim.OnMachine::cost).sum();
    }

    private List<Victim.OnMachine> cheapest(Pipeline gang, Predicate<SchedulableMachine> allowed) {
        List<Victim.OnMachine> candidates = new ArrayList<>();
        for (SchedulableMachine machine : machines) {
            if (machine.accepts(gang) && !machine.isReserved() && allowed.test(machine)) {
                victimsFor(gang, machine).ifPresent(candidates::add);
            }
        }
        int tasks = gang.spec().tasks();
        if (candidates.size() < tasks) {
            return List.of();
        }
        candidates.sort(Comparator.comparingDouble(Victim.OnMachine::cost));
        List<Victim.OnMachine> cheapest = candidates.subList(0, tasks);
        // The cost is infinite for a machine type whose image fetch rate is 0.
        return totalCost(cheapest) < Double.MAX_VALUE ? cheapest : List.of();
    }

    /** The victims to evict so that one task of the gang fits, least loss first; empty when it would not fit. */
    private Optional<Victim.OnMachine> victimsFor(Pipeline gang, SchedulableMachine machine) {
        Submission spec = gang.spec();
        Capacity free = machine.copy();
        List<Victim> evicted = new ArrayList<>();
        double cost = spec.cores() * machine.imageFetchS(spec);
        for (Victim victim : victimsOfLowerPriority(gang, machine)) {
            if (free.fits(spec)) {
                break;
            }
            evicted.add(victim);
            free.release(victim.spec());
            cost += victim.loss();
        }
        return free.fits(spec) ? Optional.of(new Victim.OnMachine(machine, evicted, cost)) : Optional.empty();
    }

    private List<Victim> victimsOfLowerPriority(Pipeline gang, SchedulableMachine machine) {
        List<Victim> candidates = new ArrayList<>(victims.onMachine(machine.name()));
        candidates.removeIf(victim -> snapshot.priority(victim.job()).compareTo(snapshot.priority(gang)) >= 0);
        if (candidates.size() > 1) {
            candidates.sort(Comparator.comparingDouble(Victim::loss));
        }
        return candidates;
    }
}
