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
import java.util.function.Predicate;
import org.spoolline.fleet.Room;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.workers.Machine;

/**
 * Decides which tasks leave for a job that found no room: an urgent gang takes the machines where stopping work of
 * lower priority loses least; an array within its team's guarantee takes room from tasks that save, of lower priority
 * or of a team beyond its own guarantee. Machines chosen once stay reserved until the job has started there or the
 * reservation lapses.
 */
final class Preemption {
    /**
     * A task that may have to leave its machine.
     *
     * @param loss   core seconds that a stop throws away
     * @param graceS saving occupies the room that others wait for: none where it would take about as long as it saves
     */
    private record Victim(Pipeline job, Attempt attempt, double loss, double graceS) {
        static Victim of(Pipeline job, Attempt attempt, Machine machine, long now) {
            Submission spec = job.spec();
            double unsavedS = spec.unsavedS(machine.ranMs(Machine.Start.of(job.uid(), attempt), now) / 1000.0);
            boolean atOnce = !spec.saves() || unsavedS <= Constants.SAVES_WORTH * spec.saveS();
            return new Victim(
                    job, attempt, spec.cores() * (atOnce ? unsavedS : spec.saveS()), atOnce ? 0 : spec.stopGraceS());
        }
    }

    /** A machine with the tasks that would leave it. */
    private record Choice(Node node, List<Victim> victims, double cost) {}

    private final ClusterSnapshot snapshot;
    private final List<Node> nodes;
    private final Map<String, List<Victim>> victims = new HashMap<>();
    private final Map<String, Double> lossPerCore = new HashMap<>();
    private boolean collected;
    private final Set<String> taken = new HashSet<>();
    private final Set<String> within;
    private final Map<String, double[]> teamUse;
    /** Cores that a team uses beyond its guarantee, by team. */
    private final Map<String, Double> borrowed = new HashMap<>();

    private final List<Placer.Clearing> clearings = new ArrayList<>();

    Preemption(ClusterSnapshot snapshot, List<Node> nodes, Set<String> within, Map<String, double[]> teamUse) {
        this.snapshot = snapshot;
        this.nodes = nodes;
        this.within = within;
        this.teamUse = teamUse;
    }

    /**
     * Clears machines that have the gang's image, rather than letting all its members wait for the slowest fetch on
     * free ones. False where the stopped work would lose more than the fetch takes.
     */
    boolean warm(Pipeline job, double fetchS) {
        collect(true);
        List<Choice> chosen =
                choose(job, node -> node.machine.hasImage(job.spec().image()));
        double lost = chosen.stream().mapToDouble(Choice::cost).sum();
        if (chosen.isEmpty() || lost >= fetchS * job.spec().cores() * job.spec().tasks()) {
            return false;
        }
        clearing(job, chosen, true);
        return true;
    }

    /** What is to be cleared: for urgent gangs with their image at hand, as found before, and for the wants. */
    List<Placer.Clearing> clear(List<Placer.Want> wants) {
        snapshot.settings()
                .teams()
                .forEach((name, team) ->
                        borrowed.put(name, teamUse.getOrDefault(name, new double[2])[0] - team.cores()));
        for (Placer.Want want : wants) {
            Pipeline job = want.job();
            boolean urgentGang = urgentGang(job);
            if (!urgentGang && (job.spec().gang() || !want.withinGuarantee())
                    || snapshot.reserved().containsValue(job.uid())
                    || urgentGang && !job.attempts().isEmpty()) {
                // A gang that lacks members only would clear as many machines as all its tasks need.
                continue;
            }
            collect(wants.stream().anyMatch(w -> urgentGang(w.job())));
            List<Choice> chosen = urgentGang ? choose(job, node -> true) : room(job, want.tasks());
            if (!chosen.isEmpty()) {
                clearing(job, chosen, false);
            }
        }
        return clearings;
    }

    private void clearing(Pipeline job, List<Choice> chosen, boolean warm) {
        Set<String> machines = new LinkedHashSet<>();
        Map<Machine.Start, Double> leaving = new LinkedHashMap<>();
        for (Choice c : chosen) {
            machines.add(c.node().machine.name());
            taken.add(c.node().machine.name());
            c.node().reserve(job.uid());
            for (Victim v : c.victims()) {
                leaving.put(Machine.Start.of(v.job().uid(), v.attempt()), v.graceS());
            }
        }
        clearings.add(new Placer.Clearing(job.uid(), machines, leaving, warm));
    }

    boolean urgentGang(Pipeline job) {
        return job.spec().gang() && snapshot.priority(job).compareTo(Submission.Priority.URGENT) >= 0;
    }

    /** Notes whoever might have to leave; without an urgent gang that is only savers beyond a guarantee. */
    private void collect(boolean forGangs) {
        if (collected) {
            return;
        }
        collected = true;
        for (Pipeline job : snapshot.jobs()) {
            // A gang would lose all its members for the room of one.
            if (job.spec().gang() && job.spec().tasks() > 1
                    || job.cancelled()
                    || !forGangs && (!job.spec().saves() || within.contains(job.uid()))) {
                continue;
            }
            for (Attempt a : snapshot.held(job)) {
                Machine machine = snapshot.machines().get(a.machine());
                if (machine != null) {
                    victims.computeIfAbsent(a.machine(), m -> new ArrayList<>())
                            .add(Victim.of(job, a, machine, snapshot.now()));
                }
            }
        }
    }

    /** One machine for each task of the gang, all in one zone where the job says so; empty when that can't be. */
    private List<Choice> choose(Pipeline job, Predicate<Node> among) {
        Submission spec = job.spec();
        Set<String> zones = new LinkedHashSet<>();
        nodes.forEach(n -> zones.add(n.zone));
        List<Choice> best = List.of();
        double bestCost = Double.MAX_VALUE;
        for (String zone : zones) {
            List<Choice> choices = new ArrayList<>();
            for (Node node : nodes) {
                if ((!spec.oneZone() || node.zone.equals(zone))
                        && node.openTo(job)
                        && node.reservedFor() == null
                        && !taken.contains(node.machine.name())
                        && among.test(node)) {
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

    /** Machines from which savers leave for up to so many tasks of an array: where least is lost and fetched. */
    private List<Choice> room(Pipeline job, int tasks) {
        Submission spec = job.spec();
        if (spec.oneZone() || spec.spread()) {
            return List.of();
        }
        List<Node> cheapest = new ArrayList<>();
        for (Node node : nodes) {
            if (node.reservedFor() == null
                    && node.openTo(job)
                    && victims.containsKey(node.machine.name())
                    && !taken.contains(node.machine.name())) {
                cheapest.add(node);
            }
        }
        cheapest.sort(Comparator.comparingDouble(
                n -> n.fetchS(spec) + lossPerCore.computeIfAbsent(n.machine.name(), this::lossPerCore)));
        List<Choice> choices = new ArrayList<>();
        int cleared = 0;
        for (Node node : cheapest) {
            if (cleared >= tasks) {
                break;
            }
            List<Victim> leaving = new ArrayList<>();
            Room free = node.copy();
            for (Victim v : victims.get(node.machine.name())) {
                if (cleared + Math.floor(free.cores() / spec.cores()) >= tasks) {
                    break;
                }
                if (v.job().spec().saves() && mayTakeFrom(job, v.job())) {
                    leaving.add(v);
                    free.release(v.job().spec());
                    borrowed.merge(v.job().spec().team(), -v.job().spec().cores(), Double::sum);
                }
            }
            int fits = (int) Math.min(
                    Math.floor(free.cores() / spec.cores() + Constants.EPSILON),
                    spec.memoryGb() > 0 ? Math.floor(free.memoryGb() / spec.memoryGb() + Constants.EPSILON) : tasks);
            if (!leaving.isEmpty() && fits > 0) {
                choices.add(new Choice(node, leaving, 0));
                cleared += fits;
            }
        }
        return choices;
    }

    /** Seconds of run time that the savers of a machine would lose, on average over their cores; orders them by it too. */
    private double lossPerCore(String machine) {
        List<Victim> here = victims.get(machine);
        here.sort(Comparator.comparingDouble(v -> v.loss() / v.job().spec().cores()));
        double loss = 0;
        double cores = 0;
        for (Victim v : here) {
            if (v.job().spec().saves()) {
                loss += v.loss();
                cores += v.job().spec().cores();
            }
        }
        return cores == 0 ? 0 : loss / cores;
    }

    private boolean mayTakeFrom(Pipeline job, Pipeline victim) {
        if (victim.spec().gang() || victim.uid().equals(job.uid())) {
            return false;
        }
        boolean lower = snapshot.priority(victim).compareTo(snapshot.priority(job)) < 0;
        boolean beyond = !victim.spec().team().equals(job.spec().team())
                && !within.contains(victim.uid())
                && borrowed.getOrDefault(victim.spec().team(), 0.0)
                        >= victim.spec().cores();
        return lower && !within.contains(victim.uid()) || beyond;
    }

    /** What would have to leave the machine for one task of the job, or null when that is not allowed. */
    private Choice choice(Pipeline job, Node node) {
        Submission spec = job.spec();
        Room free = node.copy();
        List<Victim> leaving = new ArrayList<>();
        double cost = spec.cores() * node.fetchS(spec);
        List<Victim> here = new ArrayList<>(victims.getOrDefault(node.machine.name(), List.of()));
        here.removeIf(v -> snapshot.priority(v.job()).compareTo(snapshot.priority(job)) >= 0);
        if (here.size() > 1) {
            here.sort(Comparator.comparingDouble(Victim::loss));
        }
        for (Victim v : here) {
            if (free.fits(spec)) {
                break;
            }
            leaving.add(v);
            free.release(v.job().spec());
            cost += v.loss();
        }
        return free.fits(spec) ? new Choice(node, leaving, cost) : null;
    }
}
