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
 * Plans one scheduling cycle: places tasks on machines and calls the planners for preemption and consolidation.
 *
 * <p>Jobs are placed in this order: starving jobs, jobs within their team's guaranteed share, jobs of higher priority,
 * jobs that became eligible earlier. A plan depends on its snapshot only, and planning has no side effects.
 */
final class PlacementPlanner {
    private final ClusterSnapshot snapshot;
    private final List<Pipeline> jobsByEligibleTime;
    private final FairShares fairShares;
    private final List<SchedulableMachine> machines;
    private final MachineSelector selector;
    private final PreemptionPlanner preemptionPlanner;
    private final Map<String, List<Placement>> placements = new LinkedHashMap<>();
    private final List<ResourceDemand> demands = new ArrayList<>();
    /** Teams that launch no more jobs in this plan, so that usage falls until a starving gang fits the team's limit. */
    private final Set<String> teamsWithLaunchesPaused = new HashSet<>();
    /** Names of the machines that accept no other jobs, so that their free capacity accumulates for a starving gang. */
    private final Set<String> accumulatingMachines = new LinkedHashSet<>();

    private PlacementPlanner(ClusterSnapshot snapshot) {
        this.snapshot = snapshot;
        jobsByEligibleTime = new ArrayList<>(snapshot.jobs());
        jobsByEligibleTime.sort(Comparator.comparingLong(Pipeline::eligibleAt).thenComparing(Pipeline::jobId));
        fairShares = new FairShares(snapshot.settings().teams(), jobsByEligibleTime);
        machines = schedulableMachines(snapshot);
        selector = new MachineSelector(snapshot, machines);
        preemptionPlanner = new PreemptionPlanner(snapshot, machines, fairShares);
    }

    /** Returns the plan for one scheduling cycle. */
    static SchedulingPlan plan(ClusterSnapshot snapshot) {
        PlacementPlanner planner = new PlacementPlanner(snapshot);
        planner.allocateRunningAttempts();
        return planner.plan();
    }

    /** Excludes machines of an unknown type, since their capacity is unknown as well. */
    private static List<SchedulableMachine> schedulableMachines(ClusterSnapshot snapshot) {
        List<SchedulableMachine> machines = new ArrayList<>();
        for (Machine machine : snapshot.schedulableMachines()) {
            MachineType type = snapshot.machineTypes().get(machine.type());
            if (type != null) {
                String reservedForJob = snapshot.reservedJobsByMachine().get(machine.name());
                machines.add(new SchedulableMachine(machine, type, reservedForJob));
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
        return new SchedulingPlan(placements, demands, preemptions, accumulatingMachines, machinesToEvacuate());
    }

    private Set<String> machinesToEvacuate() {
        boolean nothingToPlace = demands.isEmpty() && placements.isEmpty();
        return nothingToPlace && snapshot.mayConsolidate()
                ? ConsolidationPlanner.machinesToEvacuate(snapshot, machines)
                : Set.of();
    }

    private List<Pipeline> jobsInPlanningOrder() {
        List<Pipeline> ordered = new ArrayList<>(jobsByEligibleTime);
        ordered.sort(Comparator.<Pipeline>comparingInt(job -> isStarving(job) ? 0 : 1)
                .thenComparingInt(job -> fairShares.isWithinShare(job) ? 0 : 1)
                .thenComparing(snapshot::priority, Comparator.reverseOrder()));
        return ordered;
    }

    /**
     * True for a job that has been eligible for longer than {@link Constants.Placement#STARVATION_MS} without a launch.
     * Unless it is placed first, a continuous stream of other jobs could delay it indefinitely.
     */
    private boolean isStarving(Pipeline job) {
        return !job.hasStarted() && eligibleForMs(job) > Constants.Placement.STARVATION_MS;
    }

    /**
     * True for a starving gang that has been eligible for less than {@link
     * Constants.Placement#CAPACITY_ACCUMULATION_UNTIL_MS}: after that time, other jobs have waited for it long enough.
     */
    private boolean mayAccumulateCapacity(Pipeline job) {
        return job.spec().gang()
                && isStarving(job)
                && eligibleForMs(job) < Constants.Placement.CAPACITY_ACCUMULATION_UNTIL_MS;
    }

    private long eligibleForMs(Pipeline job) {
        return snapshot.timeOfDay() - job.eligibleAt();
    }

    private void place(Pipeline job) {
        Submission spec = job.spec();
        int launchLimit = launchLimit(job);
        boolean mayAccumulate = mayAccumulateCapacity(job);
        if (mayAccumulate && launchLimit < job.unplacedTaskCount()) {
            teamsWithLaunchesPaused.add(spec.team());
        }
        if (!mayLaunch(job, launchLimit)) {
            return;
        }
        List<SchedulableMachine> chosen = selector.allocate(job, launchLimit);
        if (shouldWaitForMachinesWithImage(job, chosen)) {
            MachineSelector.release(spec, chosen);
            return;
        }
        int placedCount = recordPlacements(job, chosen);
        if (placedCount == 0 && mayAccumulate && accumulatingMachines.isEmpty()) {
            accumulateCapacity(job);
        }
        if (placedCount < launchLimit) {
            demands.add(new ResourceDemand(job, launchLimit - placedCount, fairShares.isWithinShare(job)));
        }
    }

    /** The number of the job's tasks that its team's limits allow to be launched in this plan. */
    private int launchLimit(Pipeline job) {
        Submission spec = job.spec();
        int headroom = teamsWithLaunchesPaused.contains(spec.team()) ? 0 : fairShares.headroom(spec);
        // A single launch ends the starvation of an array job, which is placed in the regular order afterwards.
        int tasks = isStarving(job) && !spec.gang() ? 1 : job.unplacedTaskCount();
        return Math.min(tasks, headroom);
    }

    private boolean mayLaunch(Pipeline job, int launchLimit) {
        boolean gangExceedsLimit = job.spec().gang() && launchLimit < job.unplacedTaskCount();
        return launchLimit > 0
                && !gangExceedsLimit
                && job.notBefore() <= snapshot.timeOfDay()
                && snapshot.placeableJobs().contains(job.jobId());
    }

    /**
     * True when an urgent gang should wait for machines that have its image cached instead of starting on the chosen
     * ones. The machines with the image are being cleared for it already, or this call adds a preemption that clears
     * them.
     */
    private boolean shouldWaitForMachinesWithImage(Pipeline job, List<SchedulableMachine> chosen) {
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

    /** Assigns unplaced tasks of the job to the chosen machines; returns the number of tasks assigned. */
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
            accumulatingMachines.add(machine.name());
        }
    }
}
