package org.spoolline.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.workers.Machine;

/**
 * Decides which tasks leave for an urgent gang that found no room: only work of lower priority, and there the tasks
 * whose stop loses least. Machines chosen once stay reserved until the gang has started or the reservation lapses.
 */
final class Preemption {
    /** A task that may have to leave its machine. */
    private record Victim(Pipeline job, Attempt attempt, double loss) {
    }

    /** A machine with the tasks that would leave it. */
    private record Choice(Node node, List<Victim> victims, double cost) {
    }

    private final Picture picture;
    private final List<Node> nodes;
    private final Map<String, List<Victim>> victims = new HashMap<>();
    private final Set<String> taken = new HashSet<>();

    Preemption(Picture picture, List<Node> nodes) {
        this.picture = picture;
        this.nodes = nodes;
    }

    List<Placer.Clearing> clear(List<Placer.Want> wants) {
        List<Placer.Clearing> clearings = new ArrayList<>();
        for (Placer.Want want : wants) {
            Pipeline job = want.job();
            if (!job.spec().gang() || job.spec().priority().compareTo(Submission.Priority.URGENT) < 0
                    || picture.reserved().containsValue(job.uid())) {
                continue;
            }
            if (victims.isEmpty()) {
                collect();
            }
            List<Choice> chosen = choose(job);
            if (chosen.isEmpty()) {
                continue;
            }
            Set<String> machines = new LinkedHashSet<>();
            Map<Machine.Start, Double> leaving = new LinkedHashMap<>();
            for (Choice c : chosen) {
                machines.add(c.node().machine.name());
                taken.add(c.node().machine.name());
                for (Victim v : c.victims()) {
                    leaving.put(Machine.Start.of(v.job().uid(), v.attempt()), grace(v.job().spec()));
                }
            }
            clearings.add(new Placer.Clearing(job.uid(), machines, leaving));
        }
        return clearings;
    }

    private static double grace(Submission spec) {
        return spec.saves() ? spec.saveS() + 1 : 0;
    }

    private void collect() {
        for (Pipeline job : picture.jobs()) {
            // A gang would lose all its members for the room of one.
            if (job.spec().gang() && job.spec().tasks() > 1 || job.cancelled()) {
                continue;
            }
            for (Attempt a : picture.holding().getOrDefault(job.uid(), job.attempts())) {
                Machine machine = picture.machines().get(a.machine());
                if (machine != null) {
                    victims.computeIfAbsent(a.machine(), m -> new ArrayList<>())
                            .add(new Victim(job, a, loss(job, a, machine)));
                }
            }
        }
    }

    /** Core seconds that a stop throws away. */
    private double loss(Pipeline job, Attempt attempt, Machine machine) {
        double ran = machine.ranMs(Machine.Start.of(job.uid(), attempt), picture.now()) / 1000.0;
        Submission spec = job.spec();
        return spec.cores() * (spec.saves() ? Math.min(ran, spec.saveS()) : ran);
    }

    /** One machine for each task of the gang, all in one zone where the job says so; empty when that can't be. */
    private List<Choice> choose(Pipeline job) {
        Submission spec = job.spec();
        Set<String> zones = new LinkedHashSet<>();
        nodes.forEach(n -> zones.add(n.zone));
        List<Choice> best = List.of();
        double bestCost = Double.MAX_VALUE;
        for (String zone : zones) {
            List<Choice> choices = new ArrayList<>();
            for (Node node : nodes) {
                if ((!spec.oneZone() || node.zone.equals(zone)) && node.openTo(job) && node.reservedFor == null
                        && !taken.contains(node.machine.name())) {
                    Choice choice = choice(job, node);
                    if (choice != null) {
                        choices.add(choice);
                    }
                }
            }
            choices.sort(Comparator.comparingDouble(Choice::cost));
            if (choices.size() < spec.tasks()) {
                continue;
            }
            List<Choice> some = choices.subList(0, spec.tasks());
            double cost = some.stream().mapToDouble(Choice::cost).sum();
            if (cost < bestCost) {
                best = some;
                bestCost = cost;
            }
        }
        return best;
    }

    /** What would have to leave the machine for one task of the job, or null when that is not allowed. */
    private Choice choice(Pipeline job, Node node) {
        Submission spec = job.spec();
        double cores = node.cores;
        double memory = node.memoryGb;
        double accelerators = node.accelerators;
        List<Victim> leaving = new ArrayList<>();
        double cost = spec.cores() * node.fetchS(spec);
        List<Victim> here = new ArrayList<>(victims.getOrDefault(node.machine.name(), List.of()));
        here.removeIf(v -> v.job().spec().priority().compareTo(spec.priority()) >= 0);
        here.sort(Comparator.comparingDouble(Victim::loss));
        for (Victim v : here) {
            if (cores + Constants.EPSILON >= spec.cores() && memory + Constants.EPSILON >= spec.memoryGb()
                    && accelerators + Constants.EPSILON >= spec.accelerators()) {
                break;
            }
            leaving.add(v);
            cores += v.job().spec().cores();
            memory += v.job().spec().memoryGb();
            accelerators += v.job().spec().accelerators();
            cost += v.loss();
        }
        boolean fits = cores + Constants.EPSILON >= spec.cores() && memory + Constants.EPSILON >= spec.memoryGb()
                && accelerators + Constants.EPSILON >= spec.accelerators();
        return fits ? new Choice(node, leaving, cost) : null;
    }
}
