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
import org.spoolline.fleet.MachineType;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.workers.Machine;

/** Decides what runs where: guarantees first, then priority, then release order. Pure: (snapshot, now) to plan. */
public final class Placer {
    private static final String UNKNOWN_ZONE = "?";

    /** One task to be started. */
    public record Placement(int task, Machine machine) {}

    /** Tasks of a job that found no room, limited to what its team may run. */
    public record Want(Pipeline job, int tasks, boolean withinGuarantee) {}

    /**
     * Machines to be cleared for a job, and the attempts that have to leave them, with the grace in seconds. For a
     * {@code warm} one the machines were chosen since they have the job's image.
     */
    public record Clearing(String uid, Set<String> machines, Map<Machine.Start, Double> leaving, boolean warm) {}

    /**
     * What to start, what found no room, most urgent first, what to clear for it, machines that room gathers on, and
     * machines to be emptied since their work fits others.
     */
    public record Plan(
            Map<String, List<Placement>> placements,
            List<Want> wants,
            List<Clearing> clearings,
            Set<String> gathering,
            Set<String> evacuated) {}

    private final ClusterSnapshot snapshot;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, double[]> teamUse = new HashMap<>();
    private final Map<String, List<Placement>> placements = new LinkedHashMap<>();
    private final List<Want> wants = new ArrayList<>();
    private Set<String> within = Set.of();
    private Preemption preemption;
    /** Teams whose running work has to make way for a gang that needs most of their limit. */
    private final Set<String> closed = new HashSet<>();

    private final Set<String> gathering = new LinkedHashSet<>();

    private Placer(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
    }

    public static Plan plan(ClusterSnapshot snapshot) {
        return new Placer(snapshot).plan();
    }

    private Plan plan() {
        Map<String, Node> byName = new HashMap<>();
        for (Machine m : snapshot.usable()) {
            MachineType type = snapshot.types().get(m.type());
            if (type != null) {
                Node node = new Node(m, type, snapshot.reserved().get(m.name()));
                nodes.add(node);
                byName.put(m.name(), node);
            }
        }
        for (Pipeline job : snapshot.jobs()) {
            double[] use = teamUse.computeIfAbsent(job.spec().team(), t -> new double[2]);
            use[0] += job.unlisted() * job.spec().cores();
            use[1] += job.unlisted() * job.spec().accelerators();
            for (Attempt a : snapshot.held(job)) {
                use[0] += job.spec().cores();
                use[1] += job.spec().accelerators();
                Node node = byName.get(a.machine());
                if (node != null) {
                    node.take(job.spec());
                }
            }
        }
        List<Pipeline> byRelease = new ArrayList<>(snapshot.jobs());
        byRelease.sort(Comparator.comparingLong(Pipeline::releasedAt).thenComparing(Pipeline::uid));
        within = within(byRelease, snapshot.settings());
        preemption = new Preemption(snapshot, nodes, within, teamUse);
        for (Pipeline job : inOrder(byRelease, within)) {
            if (job.finished() || job.cancelled()) {
                continue;
            }
            place(job);
        }
        boolean surplus = wants.isEmpty() && placements.isEmpty() && snapshot.mayEvacuate();
        return new Plan(
                placements,
                wants,
                preemption.clear(wants),
                gathering,
                surplus ? Consolidation.evacuated(snapshot, nodes) : Set.of());
    }

    /** True for a job that has waited long and of which nothing has begun. */
    private boolean aged(Pipeline job) {
        return !job.begun() && snapshot.timeOfDay() - job.releasedAt() > Constants.AGED_MS;
    }

    /**
     * Release order within priority, with the jobs inside their team's guarantee first. Before them all, jobs that have
     * waited long are to begin, or a stream of others could keep them waiting for ever.
     */
    private List<Pipeline> inOrder(List<Pipeline> byRelease, Set<String> within) {
        List<Pipeline> ordered = new ArrayList<>(byRelease);
        ordered.sort(Comparator.<Pipeline>comparingInt(j -> aged(j) ? 0 : 1)
                .thenComparingInt(j -> within.contains(j.uid()) ? 0 : 1)
                .thenComparing(snapshot::priority, Comparator.reverseOrder()));
        return ordered;
    }

    /** Jobs that fit their team's guarantee along with the team's earlier unfinished jobs. */
    static Set<String> within(List<Pipeline> byRelease, Settings settings) {
        Map<String, double[]> sums = new HashMap<>();
        Set<String> within = new LinkedHashSet<>();
        for (Pipeline job : byRelease) {
            Settings.Team team = settings.teams().get(job.spec().team());
            if (team == null || job.finished() || job.cancelled()) {
                continue;
            }
            double[] sum = sums.computeIfAbsent(team.name(), t -> new double[2]);
            sum[0] += job.spec().cores() * job.spec().tasks();
            sum[1] += job.spec().accelerators() * job.spec().tasks();
            if (sum[0] <= team.cores() + Constants.EPSILON && sum[1] <= team.accelerators() + Constants.EPSILON) {
                within.add(job.uid());
            }
        }
        return within;
    }

    private void place(Pipeline job) {
        Submission spec = job.spec();
        int ready = job.readyCount();
        boolean aged = aged(job);
        // An aged array begins with one task; with that it is in its usual place again.
        int allowed = Math.min(aged && !spec.gang() ? 1 : ready, closed.contains(spec.team()) ? 0 : headroom(spec));
        boolean gathers = aged && spec.gang() && snapshot.timeOfDay() - job.releasedAt() < Constants.GATHER_UNTIL_MS;
        if (gathers && allowed < ready) {
            closed.add(spec.team());
        }
        if (allowed <= 0
                || job.notBefore() > snapshot.timeOfDay()
                || !snapshot.placeable().contains(job.uid())) {
            return;
        }
        if (spec.gang() && allowed < ready) {
            return;
        }
        // Members that wait already would give up before one that fetches long is there; started over as a whole,
        // those at hand are launched last.
        boolean mending = spec.gang() && !snapshot.held(job).isEmpty();
        double mendS = snapshot.settings().workers().gangWaitMs() / 1000.0 * Constants.MEND_FETCH_SHARE;
        List<Node> fitting = new ArrayList<>();
        for (Node node : nodes) {
            if (node.openTo(job) && node.fits(spec) && (!mending || node.fetchS(spec) <= mendS)) {
                fitting.add(node);
            }
        }
        // The image at hand first, then the smallest type that does, so that big machines stay free for big tasks;
        // then cheap machines, and the fullest of them, so that the dear ones empty out and can be returned; but work
        // that loses much when the cloud takes its machine leaves the cheap ones to work that loses little.
        int spotFirst = spec.lossS() <= Constants.SPOT_LOSS_S ? 0 : 2;
        fitting.sort(Comparator.<Node>comparingInt(n -> n.fetchS(spec) < Constants.SHORT_FETCH_S ? 0 : 1)
                .thenComparingDouble(n -> n.type.cores())
                .thenComparingInt(n -> n.spot ? spotFirst : 1)
                .thenComparingDouble(Node::cores)
                .thenComparing(n -> n.machine.name()));
        List<Node> chosen = choose(job, fitting, allowed);
        if (spec.gang() && chosen.size() < allowed) {
            chosen.forEach(n -> n.release(spec));
            chosen = List.of();
        }
        if (!mending && preemption.urgentGang(job) && waitsForWarmPlaces(job, chosen)) {
            chosen.forEach(n -> n.release(spec));
            return;
        }
        List<Integer> tasks = job.ready(chosen.size());
        List<Placement> placed = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            placed.add(new Placement(tasks.get(i), chosen.get(i).machine));
        }
        if (!placed.isEmpty()) {
            placements.put(job.uid(), placed);
            double[] use = teamUse.get(spec.team());
            use[0] += placed.size() * spec.cores();
            use[1] += placed.size() * spec.accelerators();
        }
        if (gathers && placed.isEmpty() && gathering.isEmpty()) {
            gather(job);
        }
        if (placed.size() < allowed) {
            wants.add(new Want(job, allowed - placed.size(), within.contains(job.uid())));
        }
    }

    /** Keeps the emptiest machines that would do from all other work, so that room comes together on them. */
    private void gather(Pipeline job) {
        Submission spec = job.spec();
        Map<String, List<Node>> byZone = new LinkedHashMap<>();
        for (Node node : nodes) {
            if (node.openTo(job) && node.reservedFor() == null && node.type.suits(spec)) {
                byZone.computeIfAbsent(spec.oneZone() ? node.zone : "", z -> new ArrayList<>())
                        .add(node);
            }
        }
        List<Node> best = List.of();
        double most = -1;
        for (List<Node> some : byZone.values()) {
            some.sort(Comparator.comparingDouble((Node n) -> n.type.cores() - n.cores())
                    .thenComparing(n -> n.machine.name()));
            int needed = 0;
            for (int room = 0; needed < some.size() && room < spec.tasks(); needed++) {
                room += some.get(needed).type.fits(spec);
            }
            List<Node> first = some.subList(0, needed);
            double free = first.stream().mapToDouble(Node::cores).sum();
            if (free > most) {
                most = free;
                best = first;
            }
        }
        for (Node node : best) {
            node.reserve(job.uid());
            gathering.add(node.machine.name());
        }
    }

    /** True when the gang had better start where its image is, on machines that are or will be cleared for it. */
    private boolean waitsForWarmPlaces(Pipeline job, List<Node> chosen) {
        double fetchS =
                chosen.stream().mapToDouble(n -> n.fetchS(job.spec())).max().orElse(0);
        if (fetchS < Constants.SHORT_FETCH_S) {
            return false;
        }
        return snapshot.warm().contains(job.uid())
                ? snapshot.reserved().containsValue(job.uid())
                : preemption.warm(job, fetchS);
    }

    /** Machines for up to {@code count} tasks, room already taken, with the job's zone conditions kept. */
    private List<Node> choose(Pipeline job, List<Node> fitting, int count) {
        Submission spec = job.spec();
        if (!spec.oneZone()) {
            return fill(job, fitting, count, null);
        }
        Set<String> zones = new LinkedHashSet<>();
        snapshot.held(job).forEach(a -> zones.add(zoneOf(a)));
        if (zones.isEmpty()) {
            fitting.forEach(n -> zones.add(n.zone));
        } else if (zones.size() > 1) {
            return List.of();
        }
        List<Node> best = List.of();
        for (String zone : zones) {
            List<Node> tried = fill(job, fitting, count, zone);
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

    private List<Node> fill(Pipeline job, List<Node> fitting, int count, String zone) {
        Submission spec = job.spec();
        Map<String, Integer> inZone = new HashMap<>();
        if (spec.spread()) {
            snapshot.held(job).forEach(a -> inZone.merge(zoneOf(a), 1, Integer::sum));
        }
        List<Node> chosen = new ArrayList<>();
        for (Node node : fitting) {
            if (zone != null && !zone.equals(node.zone)) {
                continue;
            }
            while (chosen.size() < count
                    && node.fits(spec)
                    && inZone.getOrDefault(node.zone, 0) + inZone.getOrDefault(UNKNOWN_ZONE, 0) < spec.zoneLimit()) {
                node.take(spec);
                chosen.add(node);
                if (spec.spread()) {
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
        double room = Math.floor((team.coresMax() - use[0]) / spec.cores() + Constants.EPSILON);
        if (spec.accelerators() > 0) {
            room = Math.min(
                    room, Math.floor((team.acceleratorsMax() - use[1]) / spec.accelerators() + Constants.EPSILON));
        }
        return (int) Math.max(0, Math.min(room, Integer.MAX_VALUE));
    }
}
