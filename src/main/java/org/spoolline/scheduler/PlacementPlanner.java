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
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Decides what runs where: guarantees first, then priority, then release order. Pure: (snapshot, now) to plan. */
public final class PlacementPlanner {
    private static final String UNKNOWN_ZONE = "?";

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> nodes = new ArrayList<>();
    private final Map<String, double[]> teamUse = new HashMap<>();
    private final Map<String, List<Placement>> placements = new LinkedHashMap<>();
    private final List<ResourceDemand> demands = new ArrayList<>();
    private Set<String> withinFairShare = Set.of();
    private PreemptionPlanner preemption;
    /** Teams whose running work has to make way for a gang that needs most of their limit. */
    private final Set<String> teamsHeldBack = new HashSet<>();

    private final Set<String> accumulating = new LinkedHashSet<>();

    private PlacementPlanner(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
    }

    public static SchedulingPlan plan(ClusterSnapshot snapshot) {
        return new PlacementPlanner(snapshot).plan();
    }

    private SchedulingPlan plan() {
        Map<String, SchedulableMachine> byName = new HashMap<>();
        for (Machine machine : snapshot.schedulable()) {
            MachineType type = snapshot.types().get(machine.type());
            if (type != null) {
                SchedulableMachine node = new SchedulableMachine(
                        machine, type, snapshot.reserved().get(machine.name()));
                nodes.add(node);
                byName.put(machine.name(), node);
            }
        }
        for (Pipeline job : snapshot.jobs()) {
            double[] use = teamUse.computeIfAbsent(job.spec().team(), t -> new double[2]);
            use[0] += job.unlistedAttempts() * job.spec().cores();
            use[1] += job.unlistedAttempts() * job.spec().accelerators();
            for (Attempt attempt : snapshot.held(job)) {
                use[0] += job.spec().cores();
                use[1] += job.spec().accelerators();
                SchedulableMachine node = byName.get(attempt.machine());
                if (node != null) {
                    node.allocate(job.spec());
                }
            }
        }
        List<Pipeline> byRelease = new ArrayList<>(snapshot.jobs());
        byRelease.sort(Comparator.comparingLong(Pipeline::eligibleAt).thenComparing(Pipeline::jobId));
        withinFairShare = withinFairShare(byRelease, snapshot.settings());
        preemption = new PreemptionPlanner(snapshot, nodes, withinFairShare, teamUse);
        for (Pipeline job : inOrder(byRelease, withinFairShare)) {
            if (job.succeeded() || job.cancelled()) {
                continue;
            }
            place(job);
        }
        boolean surplus = demands.isEmpty() && placements.isEmpty() && snapshot.mayConsolidate();
        return new SchedulingPlan(
                placements,
                demands,
                preemption.preempt(demands),
                accumulating,
                surplus ? ConsolidationPlanner.evacuated(snapshot, nodes) : Set.of());
    }

    /** True for a job that has waited long and of which nothing has begun. */
    private boolean starving(Pipeline job) {
        return !job.hasStarted() && snapshot.timeOfDay() - job.eligibleAt() > Constants.Placement.STARVATION_MS;
    }

    /**
     * Release order within priority, with the jobs inside their team's guarantee first. Before them all, jobs that have
     * waited long are to begin, or a stream of others could keep them waiting for ever.
     */
    private List<Pipeline> inOrder(List<Pipeline> byRelease, Set<String> within) {
        List<Pipeline> ordered = new ArrayList<>(byRelease);
        ordered.sort(Comparator.<Pipeline>comparingInt(j -> starving(j) ? 0 : 1)
                .thenComparingInt(j -> within.contains(j.jobId()) ? 0 : 1)
                .thenComparing(snapshot::priority, Comparator.reverseOrder()));
        return ordered;
    }

    /** Jobs that fit their team's guarantee along with the team's earlier unfinished jobs. */
    static Set<String> withinFairShare(List<Pipeline> byRelease, Settings settings) {
        Map<String, double[]> sums = new HashMap<>();
        Set<String> within = new LinkedHashSet<>();
        for (Pipeline job : byRelease) {
            Settings.Team team = settings.teams().get(job.spec().team());
            if (team == null || job.succeeded() || job.cancelled()) {
                continue;
            }
            double[] sum = sums.computeIfAbsent(team.name(), t -> new double[2]);
            sum[0] += job.spec().cores() * job.spec().tasks();
            sum[1] += job.spec().accelerators() * job.spec().tasks();
            if (sum[0] <= team.guaranteedCores() + Constants.Placement.EPSILON
                    && sum[1] <= team.guaranteedAccelerators() + Constants.Placement.EPSILON) {
                within.add(job.jobId());
            }
        }
        return within;
    }

    private void place(Pipeline job) {
        Submission spec = job.spec();
        int ready = job.unplacedTaskCount();
        boolean aged = starving(job);
        // An aged array begins with one task; with that it is in its usual place again.
        int allowed =
                Math.min(aged && !spec.gang() ? 1 : ready, teamsHeldBack.contains(spec.team()) ? 0 : headroom(spec));
        boolean gathers = aged
                && spec.gang()
                && snapshot.timeOfDay() - job.eligibleAt() < Constants.Placement.CAPACITY_ACCUMULATION_UNTIL_MS;
        if (gathers && allowed < ready) {
            teamsHeldBack.add(spec.team());
        }
        if (allowed <= 0
                || job.notBefore() > snapshot.timeOfDay()
                || !snapshot.placeable().contains(job.jobId())) {
            return;
        }
        if (spec.gang() && allowed < ready) {
            return;
        }
        // Members that wait already would give up before one that fetches long is there; started over as a whole,
        // those at hand are launched last.
        boolean mending = spec.gang() && !snapshot.held(job).isEmpty();
        double mendS =
                snapshot.settings().workers().gangWaitMs() / 1000.0 * Constants.Placement.GANG_COMPLETION_FETCH_SHARE;
        List<SchedulableMachine> fitting = new ArrayList<>();
        for (SchedulableMachine node : nodes) {
            if (node.accepts(job) && node.fits(spec) && (!mending || node.imageFetchS(spec) <= mendS)) {
                fitting.add(node);
            }
        }
        // The image at hand first, then the smallest type that does, so that big machines stay free for big tasks;
        // then cheap machines, and the fullest of them, so that the dear ones empty out and can be returned; but work
        // that loses much when the cloud takes its machine leaves the cheap ones to work that loses little.
        int spotFirst = spec.expectedLossS() <= Constants.Placement.SPOT_LOSS_S ? 0 : 2;
        fitting.sort(Comparator.<SchedulableMachine>comparingInt(
                        n -> n.imageFetchS(spec) < Constants.Placement.SHORT_FETCH_S ? 0 : 1)
                .thenComparingDouble(n -> n.type.cores())
                .thenComparingInt(n -> n.spot ? spotFirst : 1)
                .thenComparingDouble(SchedulableMachine::cores)
                .thenComparing(n -> n.machine.name()));
        List<SchedulableMachine> chosen = choose(job, fitting, allowed);
        if (spec.gang() && chosen.size() < allowed) {
            chosen.forEach(n -> n.release(spec));
            chosen = List.of();
        }
        if (!mending && preemption.urgentGang(job) && waitsForMachinesWithImage(job, chosen)) {
            chosen.forEach(n -> n.release(spec));
            return;
        }
        List<Integer> tasks = job.unplacedTasks(chosen.size());
        List<Placement> placed = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            placed.add(new Placement(tasks.get(i), chosen.get(i).machine));
        }
        if (!placed.isEmpty()) {
            placements.put(job.jobId(), placed);
            double[] use = teamUse.get(spec.team());
            use[0] += placed.size() * spec.cores();
            use[1] += placed.size() * spec.accelerators();
        }
        if (gathers && placed.isEmpty() && accumulating.isEmpty()) {
            accumulateCapacity(job);
        }
        if (placed.size() < allowed) {
            demands.add(new ResourceDemand(job, allowed - placed.size(), withinFairShare.contains(job.jobId())));
        }
    }

    /** Keeps the emptiest machines that would do from all other work, so that room comes together on them. */
    private void accumulateCapacity(Pipeline job) {
        Submission spec = job.spec();
        Map<String, List<SchedulableMachine>> byZone = new LinkedHashMap<>();
        for (SchedulableMachine node : nodes) {
            if (node.accepts(job) && node.reservedFor() == null && node.type.canRun(spec)) {
                byZone.computeIfAbsent(spec.singleZone() ? node.zone : "", z -> new ArrayList<>())
                        .add(node);
            }
        }
        List<SchedulableMachine> best = List.of();
        double most = -1;
        for (List<SchedulableMachine> some : byZone.values()) {
            some.sort(Comparator.comparingDouble((SchedulableMachine n) -> n.type.cores() - n.cores())
                    .thenComparing(n -> n.machine.name()));
            int needed = 0;
            for (int room = 0; needed < some.size() && room < spec.tasks(); needed++) {
                room += some.get(needed).type.tasksPerMachine(spec);
            }
            List<SchedulableMachine> first = some.subList(0, needed);
            double free = first.stream().mapToDouble(SchedulableMachine::cores).sum();
            if (free > most) {
                most = free;
                best = first;
            }
        }
        for (SchedulableMachine node : best) {
            node.reserve(job.jobId());
            accumulating.add(node.machine.name());
        }
    }

    /** True when the gang had better start where its image is, on machines that are or will be cleared for it. */
    private boolean waitsForMachinesWithImage(Pipeline job, List<SchedulableMachine> chosen) {
        double fetchS = chosen.stream()
                .mapToDouble(n -> n.imageFetchS(job.spec()))
                .max()
                .orElse(0);
        if (fetchS < Constants.Placement.SHORT_FETCH_S) {
            return false;
        }
        return snapshot.preemptedForImage().contains(job.jobId())
                ? snapshot.reserved().containsValue(job.jobId())
                : preemption.preemptForImage(job, fetchS);
    }

    /** Machines for up to {@code count} tasks, room already taken, with the job's zone conditions kept. */
    private List<SchedulableMachine> choose(Pipeline job, List<SchedulableMachine> fitting, int count) {
        Submission spec = job.spec();
        if (!spec.singleZone()) {
            return fill(job, fitting, count, null);
        }
        Set<String> zones = new LinkedHashSet<>();
        snapshot.held(job).forEach(attempt -> zones.add(zoneOf(attempt)));
        if (zones.isEmpty()) {
            fitting.forEach(n -> zones.add(n.zone));
        } else if (zones.size() > 1) {
            return List.of();
        }
        List<SchedulableMachine> best = List.of();
        for (String zone : zones) {
            List<SchedulableMachine> tried = fill(job, fitting, count, zone);
            if (tried.size() == count) {
                best.forEach(n -> n.release(spec));
                return tried;
            }
            if (tried.size() > best.size()) {
                best.forEach(n -> n.release(spec));
                best = tried;
            } else {
                tried.forEach(n -> n.release(spec));
            }
        }
        return best;
    }

    private List<SchedulableMachine> fill(Pipeline job, List<SchedulableMachine> fitting, int count, String zone) {
        Submission spec = job.spec();
        Map<String, Integer> inZone = new HashMap<>();
        if (spec.spreadAcrossZones()) {
            snapshot.held(job).forEach(attempt -> inZone.merge(zoneOf(attempt), 1, Integer::sum));
        }
        List<SchedulableMachine> chosen = new ArrayList<>();
        for (SchedulableMachine node : fitting) {
            if (zone != null && !zone.equals(node.zone)) {
                continue;
            }
            while (chosen.size() < count
                    && node.fits(spec)
                    && inZone.getOrDefault(node.zone, 0) + inZone.getOrDefault(UNKNOWN_ZONE, 0)
                            < spec.maxTasksPerZone()) {
                node.allocate(spec);
                chosen.add(node);
                if (spec.spreadAcrossZones()) {
                    inZone.merge(node.zone, 1, Integer::sum);
                }
            }
        }
        return chosen;
    }

    /** The zone of an attempt; with its machine unknown, it matches no zone and counts against each. */
    private String zoneOf(Attempt attempt) {
        Machine machine = snapshot.machines().get(attempt.machine());
        return machine == null ? UNKNOWN_ZONE : machine.zone();
    }

    private int headroom(Submission spec) {
        Settings.Team team = snapshot.settings().teams().get(spec.team());
        if (team == null) {
            return 0;
        }
        double[] use = teamUse.computeIfAbsent(spec.team(), t -> new double[2]);
        double room = Math.floor((team.maxCores() - use[0]) / spec.cores() + Constants.Placement.EPSILON);
        if (spec.accelerators() > 0) {
            room = Math.min(
                    room,
                    Math.floor((team.maxAccelerators() - use[1]) / spec.accelerators() + Constants.Placement.EPSILON));
        }
        return (int) Math.max(0, Math.min(room, Integer.MAX_VALUE));
    }
}
