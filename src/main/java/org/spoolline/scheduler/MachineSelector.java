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
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Chooses machines with free capacity for the tasks of one job at a time and allocates the capacity. */
final class MachineSelector {
    /** The zone of an attempt whose machine is unknown: it equals no zone and counts against the limit of each. */
    private static final String UNKNOWN_ZONE = "?";

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;

    MachineSelector(ClusterSnapshot snapshot, List<SchedulableMachine> machines) {
        this.snapshot = snapshot;
        this.machines = machines;
    }

    /**
     * Allocates capacity for up to {@code count} tasks, for a gang for all or none. The result has one entry for each
     * task; the job's zone constraints hold for it along with the job's other attempts.
     */
    List<SchedulableMachine> allocate(Pipeline job, int count) {
        Submission spec = job.spec();
        List<SchedulableMachine> candidates = candidates(job);
        candidates.sort(preference(spec));
        List<SchedulableMachine> chosen =
                spec.singleZone() ? allocateInOneZone(job, candidates, count) : allocateInOrder(job, candidates, count);
        if (spec.gang() && chosen.size() < count) {
            release(spec, chosen);
            return List.of();
        }
        return chosen;
    }

    /** Returns the capacity of tasks that are not launched after all. */
    static void release(Submission job, List<SchedulableMachine> chosen) {
        for (SchedulableMachine machine : chosen) {
            machine.release(job);
        }
    }

    private List<SchedulableMachine> candidates(Pipeline job) {
        Submission spec = job.spec();
        // Members that wait already would give up before one with a long image fetch is ready. The gang would then
        // start over as a whole, and launch the members on the machines with the image last.
        boolean limitsFetchTime = snapshot.isPartlyPlacedGang(job);
        double maxFetchS =
                snapshot.settings().workers().gangWaitMs() / 1000.0 * Constants.Placement.GANG_COMPLETION_FETCH_SHARE;
        List<SchedulableMachine> candidates = new ArrayList<>();
        for (SchedulableMachine machine : machines) {
            if (machine.accepts(job)
                    && machine.fits(spec)
                    && (!limitsFetchTime || machine.imageFetchS(spec) <= maxFetchS)) {
                candidates.add(machine);
            }
        }
        return candidates;
    }

    /**
     * Image locality first. Then the smallest type that fits, so that big machines stay free for big tasks. Then spot
     * machines and the fullest ones, so that expensive machines become idle and can be released; but work that loses
     * much when the cloud takes its machine leaves spot machines to work that loses little.
     */
    private static Comparator<SchedulableMachine> preference(Submission job) {
        int spotRank = job.expectedLossS() <= Constants.Placement.SPOT_LOSS_S ? 0 : 2;
        return Comparator.<SchedulableMachine>comparingInt(
                        m -> m.imageFetchS(job) < Constants.Placement.SHORT_FETCH_S ? 0 : 1)
                .thenComparingDouble(m -> m.type().cores())
                .thenComparingInt(m -> m.spot() ? spotRank : 1)
                .thenComparingDouble(SchedulableMachine::cores)
                .thenComparing(SchedulableMachine::name);
    }

    /** Allocates in the first usable zone with capacity for all tasks, else in the one with capacity for most. */
    private List<SchedulableMachine> allocateInOneZone(Pipeline job, List<SchedulableMachine> candidates, int count) {
        Submission spec = job.spec();
        List<SchedulableMachine> best = List.of();
        for (String zone : usableZones(job, candidates)) {
            List<SchedulableMachine> allocated = allocateInOrder(job, inZone(candidates, zone), count);
            if (allocated.size() > best.size()) {
                release(spec, best);
                best = allocated;
            } else {
                release(spec, allocated);
            }
            if (best.size() == count) {
                return best;
            }
        }
        return best;
    }

    /** The zone that the job's attempts are in, or without attempts each zone; none when attempts are in several. */
    private Set<String> usableZones(Pipeline job, List<SchedulableMachine> candidates) {
        Set<String> zones = new LinkedHashSet<>();
        for (Attempt attempt : snapshot.occupyingAttempts(job)) {
            zones.add(zoneOf(attempt));
        }
        if (zones.size() > 1) {
            return Set.of();
        }
        if (zones.isEmpty()) {
            for (SchedulableMachine machine : candidates) {
                zones.add(machine.zone());
            }
        }
        return zones;
    }

    private static List<SchedulableMachine> inZone(List<SchedulableMachine> candidates, String zone) {
        List<SchedulableMachine> inZone = new ArrayList<>();
        for (SchedulableMachine machine : candidates) {
            if (zone.equals(machine.zone())) {
                inZone.add(machine);
            }
        }
        return inZone;
    }

    /** Fills one candidate after the other, within the limit of tasks for each zone of a job that is to be spread. */
    private List<SchedulableMachine> allocateInOrder(Pipeline job, List<SchedulableMachine> candidates, int count) {
        Submission spec = job.spec();
        Map<String, Integer> tasksByZone = new HashMap<>();
        if (spec.spreadAcrossZones()) {
            snapshot.occupyingAttempts(job).forEach(attempt -> tasksByZone.merge(zoneOf(attempt), 1, Integer::sum));
        }
        List<SchedulableMachine> chosen = new ArrayList<>();
        for (SchedulableMachine machine : candidates) {
            while (chosen.size() < count
                    && machine.fits(spec)
                    && taskCount(machine.zone(), tasksByZone) < spec.maxTasksPerZone()) {
                machine.allocate(spec);
                chosen.add(machine);
                if (spec.spreadAcrossZones()) {
                    tasksByZone.merge(machine.zone(), 1, Integer::sum);
                }
            }
        }
        return chosen;
    }

    private static int taskCount(String zone, Map<String, Integer> tasksByZone) {
        return tasksByZone.getOrDefault(zone, 0) + tasksByZone.getOrDefault(UNKNOWN_ZONE, 0);
    }

    private String zoneOf(Attempt attempt) {
        Machine machine = snapshot.machinesByName().get(attempt.machine());
        return machine == null ? UNKNOWN_ZONE : machine.zone();
    }
}
