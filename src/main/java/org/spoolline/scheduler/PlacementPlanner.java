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
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/**
 * Decides which tasks are launched on which machines, and has the preemption and consolidation planners add their part.
 * Starving jobs come first, then jobs within their team's guaranteed share, then higher priority, then earlier release.
 * A plan depends on its snapshot alone, and making it changes nothing outside of the planners.
 */
final class PlacementPlanner {
    private final ClusterSnapshot snapshot;
    private final List<Pipeline> jobsByRelease;
    private final FairShares fairShares;
    private final List<SchedulableMachine> machines;
    private final MachineSelector selector;
    private final PreemptionPlanner preemptionPlanner;
    private final Map<String, List<Placement>> placements = new LinkedHashMap<>();
    private final List<ResourceDemand> demands = new ArrayList<>();
    /** Teams that launch nothing more, so that a starving gang can have most of its team's limit. */
    private final Set<String> teamsHeldBack = new HashSet<>();
    /** Names of the machines on which capacity accumulates for a starving gang. */
    private final Set<String> accumulating = new LinkedHashSet<>();

    private PlacementPlanner(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        jobsByRelease = new ArrayList<>(snapshot.jobs());
        jobsByRelease.sort(Comparator.comparingLong(Pipeline::eligibleAt).thenComparing(Pipeline::jobId));
        fairShares = new FairShares(snapshot.settings().teams(), jobsByRelease);
        machines = schedulableMachines(snapshot);
        selector = new MachineSelector(snapshot, machines);
        preemptionPlanner = new PreemptionPlanner(snapshot, machines, fairShares);
    }

    /** Makes the plan of one cycle. */
    static SchedulingPlan plan(ClusterSnapshot snapshot) {
        PlacementPlanner planner = new PlacementPlanner(snapshot);
        planner.allocateRunningAttempts();
        return planner.plan();
    }

    /** Machines whose type is unknown take no part, since their capacity is unknown too. */
    private static List<SchedulableMachine> schedulableMachines(ClusterSnapshot snapshot) {
        List<SchedulableMachine> machines = new ArrayList<>();
        for (Machine machine : snapshot.schedulable()) {
            MachineType type = snapshot.types().get(machine.type());
            if (type != null) {
                String reservedFor = snapshot.reservedFor().get(machine.name());
                machines.add(new SchedulableMachine(machine, type, reservedFor));
            }
        }
        return machines;
    }

    private void allocateRunningAttempts() {
        Map<String, SchedulableMachine> byName = new HashMap<>();
        for (SchedulableMachine machine : machines) {
            byName.put(machine.name(), machine);
        }
        for (Pipeline job : snapshot.jobs()) {
            Submission spec = job.spec();
            TeamUsage usage = fairShares.usage(spec.team());
            usage.add(spec, job.unlistedAttempts());
            for (Attempt attempt : snapshot.occupyingAttempts(job)) {
                usage.add(spec, 1);
                SchedulableMachine machine = byName.get(attempt.machine());
                if (machine != null) {
                    machine.allocate(spec);
                }
            }
        }
    }

    private SchedulingPlan plan() {
        for (Pipeline job : jobsInPlanningOrder()) {
            if (!job.succeeded() && !job.cancelled()) {
                place(job);
            }
        }
        List<Preemption> preemptions = preemptionPlanner.preempt(demands);
        return new SchedulingPlan(placements, demands, preemptions, accumulating, machinesToEvacuate());
    }

    private Set<String> machinesToEvacuate() {
        boolean idle = demands.isEmpty() && placements.isEmpty();
        return idle && snapshot.mayConsolidate() ? ConsolidationPlanner.evacuated(snapshot, machines) : Set.of();
    }

    private List<Pipeline> jobsInPlanningOrder() {
        List<Pipeline> ordered = new ArrayList<>(jobsByRelease);
        ordered.sort(Comparator.<Pipeline>comparingInt(job -> isStarving(job) ? 0 : 1)
                .thenComparingInt(job -> fairShares.isWithinShare(job) ? 0 : 1)
                .thenComparing(snapshot::priority, Comparator.reverseOrder()));
        return ordered;
    }

    /** True for a job that has been eligible for long without a launch: a stream of others could delay it for ever. */
    private boolean isStarving(Pipeline job) {
        return !job.hasStarted() && eligibleMs(job) > Constants.Placement.STARVATION_MS;
    }

    /** True for a starving gang, except for one that others have already waited for long enough. */
    private boolean mayAccumulateCapacity(Pipeline job) {
        return job.spec().gang()
                && isStarving(job)
                && eligibleMs(job) < Constants.Placement.CAPACITY_ACCUMULATION_UNTIL_MS;
    }

    private long eligibleMs(Pipeline job) {
        return snapshot.timeOfDay() - job.eligibleAt();
    }

    private void place(Pipeline job) {
        Submission spec = job.spec();
        int limit = launchLimit(job);
        boolean accumulates = mayAccumulateCapacity(job);
        if (accumulates && limit < job.unplacedTaskCount()) {
            teamsHeldBack.add(spec.team());
        }
        if (!mayLaunch(job, limit)) {
            return;
        }
        List<SchedulableMachine> chosen = selector.allocate(job, limit);
        if (waitsForMachinesWithImage(job, chosen)) {
            MachineSelector.release(spec, chosen);
            return;
        }
        int placed = recordPlacements(job, chosen);
        if (placed == 0 && accumulates && accumulating.isEmpty()) {
            accumulateCapacity(job);
        }
        if (placed < limit) {
            demands.add(new ResourceDemand(job, limit - placed, fairShares.isWithinShare(job)));
        }
    }

    /** How many tasks of the job may be launched now as far as its team's limits allow. */
    private int launchLimit(Pipeline job) {
        Submission spec = job.spec();
        int headroom = teamsHeldBack.contains(spec.team()) ? 0 : fairShares.headroom(spec);
        // One launch ends the starvation of an array, which then takes its usual place in the order.
        int tasks = isStarving(job) && !spec.gang() ? 1 : job.unplacedTaskCount();
        return Math.min(tasks, headroom);
    }

    private boolean mayLaunch(Pipeline job, int limit) {
        boolean gangExceedsLimit = job.spec().gang() && limit < job.unplacedTaskCount();
        return limit > 0
                && !gangExceedsLimit
                && job.notBefore() <= snapshot.timeOfDay()
                && snapshot.placeable().contains(job.jobId());
    }

    /**
     * True when an urgent gang should rather start on machines that have its image, which are being cleared for it or
     * are cleared from now on.
     */
    private boolean waitsForMachinesWithImage(Pipeline job, List<SchedulableMachine> chosen) {
        if (snapshot.isPartlyPlacedGang(job) || !preemptionPlanner.isUrgentGang(job)) {
            return false;
        }
        double longestFetchS = chosen.stream()
                .mapToDouble(machine -> machine.imageFetchS(job.spec()))
                .max()
                .orElse(0);
        if (longestFetchS < Constants.Placement.SHORT_FETCH_S) {
            return false;
        }
        return snapshot.gangsPreemptedForImage().contains(job.jobId())
                ? snapshot.hasReservation(job)
                : preemptionPlanner.preemptForImage(job, longestFetchS);
    }

    /** Assigns the job's next tasks to the chosen machines; returns how many tasks that are. */
    private int recordPlacements(Pipeline job, List<SchedulableMachine> chosen) {
        List<Integer> tasks = job.unplacedTasks(chosen.size());
        if (tasks.isEmpty()) {
            return 0;
        }
        List<Placement> placed = new ArrayList<>();
        for (int i = 0; i < tasks.size(); i++) {
            placed.add(new Placement(tasks.get(i), chosen.get(i).machine()));
        }
        placements.put(job.jobId(), placed);
        fairShares.usage(job.spec().team()).add(job.spec(), placed.size());
        return placed.size();
    }

    private void accumulateCapacity(Pipeline gang) {
        for (SchedulableMachine machine : CapacityAccumulation.choose(gang, machines)) {
            machine.reserve(gang.jobId());
            accumulating.add(machine.name());
        }
    }
}
