package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Decides which machines to empty while nothing waits: after a burst its long tasks are scattered, a few on each machine,
 * and all the machines are paid for. Tasks that save move to others that have their image and stay in use anyway. Room for
 * as much as jobs have asked for lately is left. Pure.
 */
final class ConsolidationPlanner {
    /** One task with its job, on the machine that may be emptied. */
    private record Moving(Pipeline job, Attempt attempt) {}

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> nodes;
    private final Map<String, List<Moving>> on = new HashMap<>();

    private ConsolidationPlanner(ClusterSnapshot snapshot, List<SchedulableMachine> nodes) {
        this.snapshot = snapshot;
        this.nodes = nodes;
    }

    /** Names of the machines to empty; {@code nodes} have the room that is left beside all work. */
    static Set<String> evacuated(ClusterSnapshot snapshot, List<SchedulableMachine> nodes) {
        return new ConsolidationPlanner(snapshot, nodes).evacuated();
    }

    private Set<String> evacuated() {
        double spare = nodes.stream().mapToDouble(SchedulableMachine::cores).sum()
                - ClusterSnapshot.recentlyRequestedCores(snapshot.jobs(), snapshot.timeOfDay());
        if (spare <= 0) {
            return Set.of();
        }
        for (Pipeline job : snapshot.jobs()) {
            for (Attempt attempt : snapshot.held(job)) {
                on.computeIfAbsent(attempt.machine(), m -> new ArrayList<>()).add(new Moving(job, attempt));
            }
        }
        List<SchedulableMachine> emptiest = new ArrayList<>();
        for (SchedulableMachine node : nodes) {
            if (node.reservedFor() == null && worthEmptying(node)) {
                emptiest.add(node);
            }
        }
        emptiest.sort(
                Comparator.comparingDouble(SchedulableMachine::utilization).thenComparing(n -> n.machine.name()));
        List<SchedulableMachine> fullest = new ArrayList<>(nodes);
        fullest.removeIf(n -> n.reservedFor() != null
                || n.cores() < Constants.Placement.EPSILON
                || !on.containsKey(n.machine.name()));
        fullest.sort(Comparator.comparingDouble(SchedulableMachine::utilization)
                .reversed()
                .thenComparing(n -> n.machine.name()));
        Set<String> evacuated = new LinkedHashSet<>();
        Set<String> receiving = new LinkedHashSet<>();
        for (SchedulableMachine node :
                emptiest.subList(0, Math.min(emptiest.size(), Constants.Placement.CONSOLIDATION_CANDIDATES_MAX))) {
            if (node.type.cores() > spare || receiving.contains(node.machine.name())) {
                continue;
            }
            Map<SchedulableMachine, List<Submission>> taken = new HashMap<>();
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
    private boolean worthEmptying(SchedulableMachine node) {
        List<Moving> here = on.getOrDefault(node.machine.name(), List.of());
        return !here.isEmpty()
                && node.utilization() <= Constants.Placement.CONSOLIDATION_UTILIZATION_MAX
                && here.stream().allMatch(this::movable);
    }

    private boolean movable(Moving moving) {
        Submission spec = moving.job().spec();
        Machine machine = snapshot.machines().get(moving.attempt().machine());
        double ranS =
                machine.observedRunMs(AttemptId.of(moving.job().jobId(), moving.attempt()), snapshot.now()) / 1000.0;
        return !spec.gang()
                && spec.checkpoints()
                && !moving.job().cancelled()
                && ranS >= Constants.Placement.CONSOLIDATION_MIN_RUN_S
                && spec.estimateS() - ranS >= Constants.Placement.CONSOLIDATION_MIN_REMAINING_S;
    }

    /** Takes room for all the node's tasks on others that have work, fullest first; false when some find none. */
    private boolean fits(
            SchedulableMachine node,
            List<SchedulableMachine> fullest,
            Set<String> evacuated,
            Map<SchedulableMachine, List<Submission>> taken) {
        for (Moving moving : on.get(node.machine.name())) {
            Submission spec = moving.job().spec();
            SchedulableMachine found = null;
            for (SchedulableMachine other : fullest) {
                if (other != node
                        && !evacuated.contains(other.machine.name())
                        && other.accepts(moving.job())
                        && other.fits(spec)
                        && other.machine.hasImage(spec.image())
                        && !spec.spreadAcrossZones()
                        && (!spec.singleZone() || other.zone.equals(node.zone))) {
                    found = other;
                    break;
                }
            }
            if (found == null) {
                return false;
            }
            found.allocate(spec);
            taken.computeIfAbsent(found, n -> new ArrayList<>()).add(spec);
        }
        return true;
    }
}
