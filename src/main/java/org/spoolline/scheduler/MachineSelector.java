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

/** Selects machines with free capacity for the tasks of one job and allocates that capacity. */
final class MachineSelector {
    /** Zone of an attempt whose machine is unknown. It matches no zone and counts against the limit of every zone. */
    private static final String UNKNOWN_ZONE = "?";

    private final ClusterSnapshot snapshot;
    private final List<SchedulableMachine> machines;

    MachineSelector(ClusterSnapshot snapshot, List<SchedulableMachine> machines) {
        this.snapshot = snapshot;
        this.machines = machines;
    }

    /**
     * Allocates capacity for up to {@code count} tasks; for a gang, for all of them or none. The result has one entry
     * for each task. Together with the job's existing attempts it satisfies the job's zone constraints.
     */
    List<SchedulableMachine> allocate(Pipeline job, int count) {
        Submission spec = job.spec();
        List<SchedulableMachine> candidates = candidates(job);
        candidates.sort(snapshot.gangsToPack().contains(job.jobId()) ? mostSpaceFirst(spec) : preference(spec));
        List<SchedulableMachine> chosen =
                spec.singleZone() ? allocateInOneZone(job, candidates, count) : allocateInOrder(job, candidates, count);
        if (spec.gang() && chosen.size() < count) {
            release(spec, chosen);
            return List.of();
        }
        return chosen;
    }

    /** Releases the capacity that was allocated for tasks of the job, one task for each entry. */
    static void release(Submission job, List<SchedulableMachine> chosen) {
        for (SchedulableMachine machine : chosen) {
            machine.release(job);
        }
    }

    private List<SchedulableMachine> candidates(Pipeline job) {
        Submission spec = job.spec();
        // The placed members wait for the missing ones and exit after gang_wait_s. A new member with a long image fetch
        // would be ready too late: the whole gang would be placed again, and launch its members on machines with the
        // image last.
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
     * Prefers machines with the image or a short image fetch, then the smallest type that fits, so that large machines
     * stay free for large tasks. Spot machines and machines with the least free capacity are next, so that expensive
     * machines become idle and can be released. Jobs that would lose much work when the cloud reclaims a machine prefer
     * on-demand machines, which leaves spot machines to jobs that lose little.
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

    /** Prefers machines on which most tasks of the job fit, so that the job takes as few machines as possible. */
    private static Comparator<SchedulableMachine> mostSpaceFirst(Submission job) {
        return Comparator.<SchedulableMachine>comparingInt(machine -> -machine.freeTasks(job))
                .thenComparing(SchedulableMachine::name);
    }

    /** Allocates in the first usable zone that fits all tasks; if there is none, in the zone that fits the most. */
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

    /**
     * The zones in which a single-zone job may be placed: the zone of its attempts, or every candidate's zone if it has
     * no attempts. Empty when its attempts are in several zones.
     */
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

    /** Allocates on the candidates in order; for a job spread across zones, up to its limit of tasks in each zone. */
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
