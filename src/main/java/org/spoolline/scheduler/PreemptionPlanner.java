package org.spoolline.scheduler;

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
import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Decides which tasks leave for a job that found no room: an urgent gang takes the machines where stopping work of
 * lower priority loses least; an array within its team's guarantee takes room from tasks that save, of lower priority
 * or of a team beyond its own guarantee. Machines chosen once stay reserved until the job has started there or the
 * reservation lapses.
 */
final class PreemptionPlanner {
    /**
     * A task that may have to leave its machine.
     *
     * @param loss   core seconds that a stop throws away
     * @param graceS saving occupies the room that others wait for: none where it would take about as long as it saves
     */
    private record Victim(Pipeline job, Attempt attempt, double loss, double graceS) {
        static Victim of(Pipeline job, Attempt attempt, Machine machine, long now) {
            Submission spec = job.spec();
            double unsavedS =
                    spec.workSinceCheckpointS(machine.observedRunMs(AttemptId.of(job.jobId(), attempt), now) / 1000.0);
            boolean atOnce =
                    !spec.checkpoints() || unsavedS <= Constants.Placement.CHECKPOINT_WORTH * spec.checkpointSaveS();
            return new Victim(
                    job,
                    attempt,
                    spec.cores() * (atOnce ? unsavedS : spec.checkpointSaveS()),
                    atOnce ? 0 : spec.stopGraceS());
        }
    }

    /** A machine with the tasks that would leave it. */
    private record Choice(SchedulableMachine node, List<Victim> victims, double cost) {}

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> nodes;
    private final Map<String, List<Victim>> victims = new HashMap<>();
    private final Map<String, Double> lossPerCore = new HashMap<>();
    private boolean collected;
    private final Set<String> taken = new HashSet<>();
    private final Set<String> withinFairShare;
    private final Map<String, double[]> teamUse;
    /** Cores that a team uses beyond its guarantee, by team. */
    private final Map<String, Double> borrowed = new HashMap<>();

    private final List<Preemption> preemptions = new ArrayList<>();

    PreemptionPlanner(
            ClusterSnapshot snapshot,
            List<SchedulableMachine> nodes,
            Set<String> within,
            Map<String, double[]> teamUse) {
        this.snapshot = snapshot;
        this.nodes = nodes;
        this.withinFairShare = within;
        this.teamUse = teamUse;
    }

    /**
     * Clears machines that have the gang's image, rather than letting all its members wait for the slowest fetch on
     * free ones. False where the stopped work would lose more than the fetch takes.
     */
    boolean preemptForImage(Pipeline job, double fetchS) {
        collect(true);
        List<Choice> chosen =
                chooseForGang(job, node -> node.machine.hasImage(job.spec().image()));
        double lost = chosen.stream().mapToDouble(Choice::cost).sum();
        if (chosen.isEmpty() || lost >= fetchS * job.spec().cores() * job.spec().tasks()) {
            return false;
        }
        addPreemption(job, chosen, true);
        return true;
    }

    /** What is to be cleared: for urgent gangs with their image at hand, as found before, and for the wants. */
    List<Preemption> preempt(List<ResourceDemand> wants) {
        snapshot.settings()
                .teams()
                .forEach((name, team) ->
                        borrowed.put(name, teamUse.getOrDefault(name, new double[2])[0] - team.guaranteedCores()));
        for (ResourceDemand demand : wants) {
            Pipeline job = demand.job();
            boolean urgentGang = urgentGang(job);
            if (!urgentGang && (job.spec().gang() || !demand.withinFairShare())
                    || snapshot.reserved().containsValue(job.jobId())
                    || urgentGang && !job.attempts().isEmpty()) {
                // A gang that lacks members only would clear as many machines as all its tasks need.
                continue;
            }
            collect(wants.stream().anyMatch(w -> urgentGang(w.job())));
            List<Choice> chosen = urgentGang ? chooseForGang(job, node -> true) : chooseForArray(job, demand.tasks());
            if (!chosen.isEmpty()) {
                addPreemption(job, chosen, false);
            }
        }
        return preemptions;
    }

    private void addPreemption(Pipeline job, List<Choice> chosen, boolean warm) {
        Set<String> machines = new LinkedHashSet<>();
        Map<AttemptId, Double> leaving = new LinkedHashMap<>();
        for (Choice c : chosen) {
            machines.add(c.node().machine.name());
            taken.add(c.node().machine.name());
            c.node().reserve(job.jobId());
            for (Victim v : c.victims()) {
                leaving.put(AttemptId.of(v.job().jobId(), v.attempt()), v.graceS());
            }
        }
        preemptions.add(new Preemption(job.jobId(), machines, leaving, warm));
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
                    || !forGangs && (!job.spec().checkpoints() || withinFairShare.contains(job.jobId()))) {
                continue;
            }
            for (Attempt attempt : snapshot.held(job)) {
                Machine machine = snapshot.machines().get(attempt.machine());
                if (machine != null) {
                    victims.computeIfAbsent(attempt.machine(), m -> new ArrayList<>())
                            .add(Victim.of(job, attempt, machine, snapshot.now()));
                }
            }
        }
    }

    /** One machine for each task of the gang, all in one zone where the job says so; empty when that can't be. */
    private List<Choice> chooseForGang(Pipeline job, Predicate<SchedulableMachine> among) {
        Submission spec = job.spec();
        Set<String> zones = new LinkedHashSet<>();
        nodes.forEach(n -> zones.add(n.zone));
        List<Choice> best = List.of();
        double bestCost = Double.MAX_VALUE;
        for (String zone : zones) {
            List<Choice> choices = new ArrayList<>();
            for (SchedulableMachine node : nodes) {
                if ((!spec.singleZone() || node.zone.equals(zone))
                        && node.accepts(job)
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
    private List<Choice> chooseForArray(Pipeline job, int tasks) {
        Submission spec = job.spec();
        if (spec.singleZone() || spec.spreadAcrossZones()) {
            return List.of();
        }
        List<SchedulableMachine> cheapest = new ArrayList<>();
        for (SchedulableMachine node : nodes) {
            if (node.reservedFor() == null
                    && node.accepts(job)
                    && victims.containsKey(node.machine.name())
                    && !taken.contains(node.machine.name())) {
                cheapest.add(node);
            }
        }
        cheapest.sort(Comparator.comparingDouble(
                n -> n.imageFetchS(spec) + lossPerCore.computeIfAbsent(n.machine.name(), this::lossPerCore)));
        List<Choice> choices = new ArrayList<>();
        int cleared = 0;
        for (SchedulableMachine node : cheapest) {
            if (cleared >= tasks) {
                break;
            }
            List<Victim> leaving = new ArrayList<>();
            Capacity free = node.copy();
            for (Victim v : victims.get(node.machine.name())) {
                if (cleared + Math.floor(free.cores() / spec.cores()) >= tasks) {
                    break;
                }
                if (v.job().spec().checkpoints() && mayTakeFrom(job, v.job())) {
                    leaving.add(v);
                    free.release(v.job().spec());
                    borrowed.merge(v.job().spec().team(), -v.job().spec().cores(), Double::sum);
                }
            }
            int fits = (int) Math.min(
                    Math.floor(free.cores() / spec.cores() + Constants.Placement.EPSILON),
                    spec.memoryGb() > 0
                            ? Math.floor(free.memoryGb() / spec.memoryGb() + Constants.Placement.EPSILON)
                            : tasks);
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
            if (v.job().spec().checkpoints()) {
                loss += v.loss();
                cores += v.job().spec().cores();
            }
        }
        return cores == 0 ? 0 : loss / cores;
    }

    private boolean mayTakeFrom(Pipeline job, Pipeline victim) {
        if (victim.spec().gang() || victim.jobId().equals(job.jobId())) {
            return false;
        }
        boolean lower = snapshot.priority(victim).compareTo(snapshot.priority(job)) < 0;
        boolean beyond = !victim.spec().team().equals(job.spec().team())
                && !withinFairShare.contains(victim.jobId())
                && borrowed.getOrDefault(victim.spec().team(), 0.0)
                        >= victim.spec().cores();
        return lower && !withinFairShare.contains(victim.jobId()) || beyond;
    }

    /** What would have to leave the machine for one task of the job, or null when that is not allowed. */
    private Choice choice(Pipeline job, SchedulableMachine node) {
        Submission spec = job.spec();
        Capacity free = node.copy();
        List<Victim> leaving = new ArrayList<>();
        double cost = spec.cores() * node.imageFetchS(spec);
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
