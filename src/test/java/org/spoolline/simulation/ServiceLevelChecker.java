package org.spoolline.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the service levels required by the users: once faults have ended, requests about jobs are answered, and jobs
 * start and complete in time.
 */
final class ServiceLevelChecker {
    private static final long MAX_WAIT_DESPITE_CAPACITY_MS = 90_000;
    private static final long MAX_UNANSWERED_MS = 75_000;
    private static final long MAX_START_DELAY_OF_LARGEST_MS = 240_000;
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Simulation simulation;
    private final InvariantChecker invariants;
    private final Map<String, Long> waitingDespiteCapacitySince = new HashMap<>();
    private final Set<String> unanswered = new HashSet<>();

    ServiceLevelChecker(Simulation simulation, InvariantChecker invariants) {
        this.simulation = simulation;
        this.invariants = invariants;
    }

    /** Checks from now on that requests about each job are answered and that no job waits despite free capacity. */
    void faultsEnded() {
        checkEverySecond(simulation.now());
    }

    private void checkEverySecond(long faultsEndedAt) {
        for (SimulatedJob job : simulation.users.jobs()) {
            if (job.accepted()
                    && simulation.now() - Math.max(faultsEndedAt, job.lastAnsweredAt()) > MAX_UNANSWERED_MS
                    && unanswered.add(job.jobId())) {
                invariants.addViolation("forgotten", "no request about " + job.jobId() + " was answered in time");
            }
            if (!waitsDespiteCapacity(job)) {
                waitingDespiteCapacitySince.remove(job.jobId());
            } else if (simulation.now()
                            - waitingDespiteCapacitySince.computeIfAbsent(job.jobId(), id -> simulation.now())
                    == MAX_WAIT_DESPITE_CAPACITY_MS) {
                invariants.addViolation(
                        "left_waiting", job.jobId() + " waits although schedulable machines have free capacity");
            }
        }
        simulation.at(1_000, () -> checkEverySecond(faultsEndedAt));
    }

    /**
     * True if the job is due to run but no worker has a live task of it, although schedulable workers have enough free
     * cores for it and it fits the remaining quota of its team.
     */
    private boolean waitsDespiteCapacity(SimulatedJob job) {
        if (!mustBeServed(job)
                || invariants.isComplete(job.jobId())
                || invariants.startableAt(job) > simulation.now()
                || hasLiveTask(job)) {
            return false;
        }
        Map<String, Integer> startableTasksByZone = new HashMap<>();
        for (FakeWorker worker : simulation.workers().values()) {
            if (worker.isSchedulable() && worker.fits(job)) {
                startableTasksByZone.merge(
                        job.requiresOneZone() ? worker.zone : "any",
                        (int) (worker.freeCores() / job.cores() + ROUNDING_TOLERANCE),
                        Integer::sum);
            }
        }
        int tasksToStart = job.isGang() ? job.tasks() : 1;
        return startableTasksByZone.values().stream().anyMatch(count -> count >= tasksToStart)
                && coresInUse(job.team()) + tasksToStart * job.cores()
                        <= invariants.quotaCores(job) + ROUNDING_TOLERANCE;
    }

    private boolean mustBeServed(SimulatedJob job) {
        return job.accepted()
                && !job.cancelRequested()
                && !invariants.isJobOrDependencyCancelled(job)
                && !job.failsEverywhere();
    }

    private boolean hasLiveTask(SimulatedJob job) {
        for (FakeWorker worker : simulation.workers().values()) {
            for (SimulatedTask task : worker.tasks()) {
                if (task.isAlive() && task.jobId().equals(job.jobId())) {
                    return true;
                }
            }
        }
        return false;
    }

    private double coresInUse(String team) {
        double usedCores = 0;
        for (FakeWorker worker : simulation.workers().values()) {
            for (SimulatedTask task : worker.tasks()) {
                SimulatedJob job = simulation.users.job(task.jobId());
                usedCores += task.isAlive() && job.team().equals(team) ? job.cores() : 0;
            }
        }
        return usedCores;
    }

    /**
     * Checks at the end of a scenario that at least half of the polls were answered, that at least half of the jobs of
     * each class, of each team and among the largest of each class completed, and that the largest jobs started in
     * time.
     */
    void checkAtEnd() {
        if (simulation.users.unansweredPolls() * 2 > simulation.users.polls()) {
            invariants.addViolation(
                    "mostly_unanswered",
                    simulation.users.unansweredPolls() + " of " + simulation.users.polls() + " polls");
        }
        Map<String, Integer> largestOfClass = new HashMap<>();
        simulation.users.jobs().forEach(job -> largestOfClass.merge(job.jobClass(), job.tasks(), Math::max));
        Map<String, List<SimulatedJob>> groups = new TreeMap<>();
        for (SimulatedJob job : simulation.users.jobs()) {
            if (!mustBeServed(job)) {
                continue;
            }
            addToGroup(groups, "class " + job.jobClass(), job);
            addToGroup(groups, "team " + job.team(), job);
            if (job.tasks() == largestOfClass.get(job.jobClass())) {
                addToGroup(groups, "largest of " + job.jobClass(), job);
                checkStartDelayOfLargest(job);
            }
        }
        groups.forEach(this::checkGroup);
    }

    private static void addToGroup(Map<String, List<SimulatedJob>> groups, String group, SimulatedJob job) {
        groups.computeIfAbsent(group, name -> new ArrayList<>()).add(job);
    }

    private void checkStartDelayOfLargest(SimulatedJob job) {
        long startDelayMs = invariants.firstStartOrNow(job) - invariants.startableAt(job);
        if (startDelayMs > MAX_START_DELAY_OF_LARGEST_MS) {
            invariants.addViolation("begun_late", job.jobId() + ", a largest of " + job.jobClass());
        }
    }

    private void checkGroup(String group, List<SimulatedJob> jobs) {
        long served =
                jobs.stream().filter(job -> invariants.isComplete(job.jobId())).count();
        if (served * 2 < jobs.size()) {
            invariants.addViolation("unserved", group + ": " + served + " of " + jobs.size());
        }
    }
}
