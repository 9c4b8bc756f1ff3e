package org.spoolline.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
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
 * Decides which machines to empty while nothing waits: after a burst its long tasks are scattered, a few on each machine,
 * and all the machines are paid for. Tasks that save move to others that have their image and stay in use anyway. Room for
 * as much as jobs have asked for lately is left. Pure.
 */
final class Consolidation {
    /** One task with its job, on the machine that may be emptied. */
    private record Moving(Pipeline job, Attempt attempt) {}

    private final ClusterSnapshot snapshot;
    private final List<Node> nodes;
    private final Map<String, List<Moving>> on = new HashMap<>();

    private Consolidation(ClusterSnapshot snapshot, List<Node> nodes) {
        this.snapshot = snapshot;
        this.nodes = nodes;
    }

    /** Names of the machines to empty; {@code nodes} have the room that is left beside all work. */
    static Set<String> evacuated(ClusterSnapshot snapshot, List<Node> nodes) {
        return new Consolidation(snapshot, nodes).evacuated();
    }

    private Set<String> evacuated() {
        double spare = nodes.stream().mapToDouble(Node::cores).sum()
                - ClusterSnapshot.askedCores(snapshot.jobs(), snapshot.timeOfDay());
        if (spare <= 0) {
            return Set.of();
        }
        for (Pipeline job : snapshot.jobs()) {
            for (Attempt a : snapshot.held(job)) {
                on.computeIfAbsent(a.machine(), m -> new ArrayList<>()).add(new Moving(job, a));
            }
        }
        List<Node> emptiest = new ArrayList<>();
        for (Node node : nodes) {
            if (node.reservedFor() == null && worthEmptying(node)) {
                emptiest.add(node);
            }
        }
        emptiest.sort(Comparator.comparingDouble(Node::usedShare).thenComparing(n -> n.machine.name()));
        List<Node> fullest = new ArrayList<>(nodes);
        fullest.removeIf(
                n -> n.reservedFor() != null || n.cores() < Constants.EPSILON || !on.containsKey(n.machine.name()));
        fullest.sort(Comparator.comparingDouble(Node::usedShare).reversed().thenComparing(n -> n.machine.name()));
        Set<String> evacuated = new LinkedHashSet<>();
        Set<String> receiving = new LinkedHashSet<>();
        for (Node node : emptiest.subList(0, Math.min(emptiest.size(), Constants.EVACUATE_TRIES))) {
            if (node.type.cores() > spare || receiving.contains(node.machine.name())) {
                continue;
            }
            Map<Node, List<Submission>> taken = new HashMap<>();
            if (fits(node, fullest, evacuated, taken)) {
                evacuated.add(node.machine.name());
                taken.keySet().forEach(n -> receiving.add(n.machine.name()));
                spare -= node.type.cores();
            } else {
                taken.forEach((n, some) -> some.forEach(n::release));
            }
        }
        return evacuated;
    }

    /** At most half in use, by tasks of arrays that save, have run for a while, and are expected to go on for a while. */
    private boolean worthEmptying(Node node) {
        List<Moving> here = on.getOrDefault(node.machine.name(), List.of());
        return !here.isEmpty()
                && node.usedShare() <= Constants.EVACUATE_SHARE
                && here.stream().allMatch(this::movable);
    }

    private boolean movable(Moving moving) {
        Submission spec = moving.job().spec();
        Machine machine = snapshot.machines().get(moving.attempt().machine());
        double ranS = machine.ranMs(Machine.Start.of(moving.job().uid(), moving.attempt()), snapshot.now()) / 1000.0;
        return !spec.gang()
                && spec.saves()
                && !moving.job().cancelled()
                && ranS >= Constants.EVACUATE_RAN_S
                && spec.estimateS() - ranS >= Constants.EVACUATE_LEFT_S;
    }

    /** Takes room for all the node's tasks on others that have work, fullest first; false when some find none. */
    private boolean fits(Node node, List<Node> fullest, Set<String> evacuated, Map<Node, List<Submission>> taken) {
        for (Moving moving : on.get(node.machine.name())) {
            Submission spec = moving.job().spec();
            Node found = null;
            for (Node other : fullest) {
                if (other != node
                        && !evacuated.contains(other.machine.name())
                        && other.openTo(moving.job())
                        && other.fits(spec)
                        && other.machine.hasImage(spec.image())
                        && !spec.spread()
                        && (!spec.oneZone() || other.zone.equals(node.zone))) {
                    found = other;
                    break;
                }
            }
            if (found == null) {
                return false;
            }
            found.take(spec);
            taken.computeIfAbsent(found, n -> new ArrayList<>()).add(spec);
        }
        return true;
    }
}
