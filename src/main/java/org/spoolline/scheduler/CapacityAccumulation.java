package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Selects the machines on which free capacity accumulates for a starving gang. Without it, a continuous stream of small
 * jobs could occupy capacity as soon as it becomes free, and the gang would never start.
 */
final class CapacityAccumulation {
    /** Key of the single group of machines for a gang that may span zones. */
    private static final String ALL_ZONES = "";

    private CapacityAccumulation() {}

    /**
     * Returns machines that could run the whole gang once they are empty, or all usable ones if these are too few. For
     * a gang that requires a single zone, the zone is chosen whose selected machines have the most free cores.
     */
    static List<SchedulableMachine> choose(Pipeline gang, List<SchedulableMachine> machines) {
        List<SchedulableMachine> best = List.of();
        double mostFree = -1;
        for (List<SchedulableMachine> group : machinesByZone(gang, machines)) {
            List<SchedulableMachine> leastUsed = leastUsed(gang.spec(), group);
            double free =
                    leastUsed.stream().mapToDouble(SchedulableMachine::cores).sum();
            if (free > mostFree) {
                mostFree = free;
                best = leastUsed;
            }
        }
        return best;
    }

    /** The machines that the gang may use, grouped by zone, or in a single group if the gang may span zones. */
    private static Collection<List<SchedulableMachine>> machinesByZone(
            Pipeline gang, List<SchedulableMachine> machines) {
        Submission spec = gang.spec();
        Map<String, List<SchedulableMachine>> byZone = new LinkedHashMap<>();
        for (SchedulableMachine machine : machines) {
            if (machine.accepts(gang) && !machine.isReserved() && machine.type().canRun(spec)) {
                String zone = spec.singleZone() ? machine.zone() : ALL_ZONES;
                byZone.computeIfAbsent(zone, z -> new ArrayList<>()).add(machine);
            }
        }
        return byZone.values();
    }

    /** The machines with the fewest cores in use, as many as the gang needs if they are empty. */
    private static List<SchedulableMachine> leastUsed(Submission gang, List<SchedulableMachine> group) {
        group.sort(Comparator.comparingDouble((SchedulableMachine m) -> m.type().cores() - m.cores())
                .thenComparing(SchedulableMachine::name));
        int needed = 0;
        int tasks = 0;
        while (needed < group.size() && tasks < gang.tasks()) {
            tasks += group.get(needed).type().tasksPerMachine(gang);
            needed++;
        }
        return group.subList(0, needed);
    }
}
