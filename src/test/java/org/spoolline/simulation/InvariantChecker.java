package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.config.Settings;

/**
 * Checks the safety rules of PROTOCOL against the tasks that workers run and the responses that users receive. It does
 * not read the state of the controllers. {@link ServiceLevelChecker} checks the time limits.
 */
public final class InvariantChecker {
    private static final double ROUNDING_TOLERANCE = 1e-6;
    private static final String DONE = "done";
    private static final String CANCELLED = "aborted";

    private final Simulation simulation;
    private final ServiceLevelChecker serviceLevels;
    private final List<String> violations = new ArrayList<>();
    private final List<SimulatedTask> running = new ArrayList<>();
    private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
    private final Map<String, Long> completeSince = new HashMap<>();
    private final Map<String, Long> firstStart = new HashMap<>();
    /** By job id, the time at which a user first received a response with the status cancelled. */
    private final Map<String, Long> cancelledAt = new HashMap<>();

    private final Map<String, String> terminalStatus = new HashMap<>();
    private final Map<String, Long> terminalSince = new HashMap<>();
    private int starts;
    private Settings settings;

    InvariantChecker(Simulation simulation) {
        this.simulation = simulation;
        this.serviceLevels = new ServiceLevelChecker(simulation, this);
    }

    /** One line per violation; each line begins with the name of the violated rule. */
    public List<String> violations() {
        return violations;
    }

    /** The number of attempts that have started. */
    public int starts() {
        return starts;
    }

    /** Starts the checks of time limits; the scenario injects no more faults. */
    public void faultsEnded() {
        serviceLevels.faultsEnded();
    }

    /** Runs the checks that are only possible at the end of a scenario. */
    public void checkAtEnd() {
        checkCancelledDependents();
        serviceLevels.checkAtEnd();
    }

    Settings settings() {
        if (settings == null) {
            settings = simulation.settings("node-0");
        }
        return settings;
    }

    private long cancelMs() {
        return settings().workers().cancelMs();
    }

    void addViolation(String rule, String detail) {
        violations.add(rule + " at " + simulation.now() / 1000.0 + " s: " + detail);
    }

    // --- events of tasks

    /**
     * Records that a worker received a launch command. After the user was told that the job is cancelled, no leader may
     * order a launch. A command that was ordered before and is still on its way is allowed; the worker drops it if it
     * arrives too late.
     *
     * @param orderedAt simulated time in ms at which a controller gave the command
     */
    void launchReceived(SimulatedTask task, long orderedAt) {
        Long cancelledAtMs = cancelledAt.get(task.jobId());
        if (cancelledAtMs != null && orderedAt > cancelledAtMs) {
            addViolation(
                    "started_cancelled",
                    task.taskId() + ", cancelled at " + cancelledAtMs / 1000.0 + " s, ordered at " + orderedAt / 1000.0
                            + " s");
        }
    }

    /**
     * Records that a worker received commands outside of a heartbeat response. They may be delivered long after the
     * controller has given up, so none of them may launch a task.
     */
    void commandsReceived(String machine, JsonNode orders) {
        for (JsonNode order : orders) {
            if (order.path("verb").asText().equals("launch")) {
                addViolation("late_launch", order.path("slip").asText() + " launched on " + machine + " by a command");
            }
        }
    }

    /** Records that an attempt has fetched its image and starts. */
    void taskStarted(SimulatedTask task) {
        starts++;
        firstStart.putIfAbsent(task.jobId(), simulation.now());
        SimulatedJob job = simulation.users.job(task.jobId());
        if (job == null) {
            addViolation("invented", task.taskId());
            return;
        }
        for (String dependency : job.dependencies()) {
            if (!isComplete(dependency)) {
                addViolation("too_early", task.taskId() + " started before " + dependency + " was done");
            }
        }
        checkAgainstRunning(task, job);
        checkMachine(task, job);
        checkCancelBound(task);
        running.add(task);
        Long cancelledAtMs = cancelledAt.get(task.jobId());
        if (cancelledAtMs != null) {
            simulation.at(Math.max(0, cancelledAtMs + cancelMs() + 1 - simulation.now()), () -> checkTerminated(task));
        }
    }

    private void checkAgainstRunning(SimulatedTask task, SimulatedJob job) {
        double usedCores = job.cores();
        int jobTasksInZone = 1;
        for (SimulatedTask other : running) {
            SimulatedJob otherJob = simulation.users.job(other.jobId());
            if (other.taskId().equals(task.taskId())) {
                addViolation("ran_twice", task.taskId() + " on " + task.worker().name + " and " + other.worker().name);
            }
            if (otherJob.team().equals(job.team())) {
                usedCores += otherJob.cores();
            }
            if (other.jobId().equals(task.jobId())) {
                boolean sameZone = other.worker().zone.equals(task.worker().zone);
                jobTasksInZone += sameZone ? 1 : 0;
                if (job.requiresOneZone() && !sameZone) {
                    addViolation("wrong_place", task.taskId() + " in another zone than its job");
                }
            }
        }
        if (job.requiresSpread() && jobTasksInZone > (job.tasks() + 1) / 2) {
            addViolation("wrong_place", task.taskId() + " puts more than half of its job in one zone");
        }
        if (usedCores > quotaCores(job) + ROUNDING_TOLERANCE) {
            addViolation("quota", job.team() + " uses " + usedCores);
        }
    }

    double quotaCores(SimulatedJob job) {
        return settings().teams().get(job.team()).maxCores();
    }

    private void checkMachine(SimulatedTask task, SimulatedJob job) {
        FakeWorker worker = task.worker();
        boolean otherZone = job.zone() != null && !job.zone().equals(worker.zone);
        boolean otherType = job.type() != null && !job.type().equals(worker.type);
        if (otherZone || otherType || !job.allowsSpot() && worker.spot) {
            addViolation("wrong_place", task.taskId() + " on " + worker.name);
        }
    }

    private void checkCancelBound(SimulatedTask task) {
        Long cancelledAtMs = cancelledAt.get(task.jobId());
        if (cancelledAtMs != null && simulation.now() > cancelledAtMs + cancelMs()) {
            addViolation("ran_cancelled", task.taskId());
        }
    }

    private void checkTerminated(SimulatedTask task) {
        if (running.contains(task)) {
            addViolation("ran_cancelled", task.taskId() + " is still on " + task.worker().name);
        }
    }

    /** Records that a started attempt has exited for any cause. */
    void taskEnded(SimulatedTask task) {
        running.remove(task);
    }

    /** Records that an attempt has completed its task. */
    void taskCompleted(SimulatedTask task) {
        taskCompletedBefore(task.jobId(), task.index());
        if (isComplete(task.jobId())) {
            completeSince.putIfAbsent(task.jobId(), simulation.now());
        }
    }

    /** True if an attempt has completed the task. */
    boolean isTaskComplete(SimulatedTask task) {
        return completedTasks.getOrDefault(task.jobId(), Set.of()).contains(task.index());
    }

    /** Records a task that was already complete when the scenario began. */
    void taskCompletedBefore(String jobId, int index) {
        completedTasks.computeIfAbsent(jobId, id -> new HashSet<>()).add(index);
    }

    // --- responses that users receive

    /** Records that a controller accepted a job that can never run or lacks a required field. */
    void invalidJobAccepted(String jobId) {
        addViolation("accepted_odd", jobId);
    }

    /** Records that a controller rejected an accepted job when it was resubmitted, or did not find it. */
    void acceptedJobLost(String jobId, int responseStatus) {
        addViolation("forgotten", jobId + " got " + responseStatus);
    }

    /** Records that a controller returned a status for a job that no user submitted. */
    void unknownJobFound(String jobId) {
        addViolation("invented", jobId);
    }

    /**
     * Records the status in a response to a request sent at {@code sentAt}. A request sent before the user received the
     * terminal status may return an older status afterwards, so it is not checked against the terminal status.
     */
    void statusReported(String jobId, String status, long sentAt) {
        SimulatedJob job = simulation.users.job(jobId);
        if (status.equals("pending") || status.equals("running")) {
            checkDependenciesNotCancelled(job, status);
        }
        String previousStatus = terminalStatus.get(jobId);
        if (previousStatus != null && !previousStatus.equals(status) && sentAt > terminalSince.get(jobId)) {
            addViolation("went_back", jobId + " was " + previousStatus + ", now " + status);
        }
        if (status.equals(DONE)) {
            recordTerminalStatus(jobId, status);
            if (completedCount(jobId) < job.tasks()) {
                addViolation("not_done", jobId);
            }
        } else if (status.equals(CANCELLED)) {
            recordTerminalStatus(jobId, status);
            checkReportedCancellation(job);
        }
    }

    private void checkDependenciesNotCancelled(SimulatedJob job, String status) {
        for (String dependency : transitiveDependencies(job)) {
            Long cancelledAtMs = cancelledAt.get(dependency);
            if (cancelledAtMs != null && simulation.now() > cancelledAtMs + cancelMs()) {
                addViolation("orphaned", job.jobId() + " is " + status + " though " + dependency + " is cancelled");
            }
        }
    }

    private void recordTerminalStatus(String jobId, String status) {
        terminalSince.putIfAbsent(jobId, simulation.now());
        terminalStatus.put(jobId, status);
    }

    private void checkReportedCancellation(SimulatedJob job) {
        if (!isCancellationExpected(job)) {
            addViolation("went_back", job.jobId() + " was not cancelled by its user");
        }
        if (cancelledAt.putIfAbsent(job.jobId(), simulation.now()) == null) {
            for (SimulatedTask task : List.copyOf(running)) {
                if (task.jobId().equals(job.jobId())) {
                    simulation.at(cancelMs() + 1, () -> checkTerminated(task));
                }
            }
        }
    }

    /** True when a user cancelled the job, or cancelled a dependency of it that was not reported done. */
    private boolean isCancellationExpected(SimulatedJob job) {
        return job.cancelRequested()
                || transitiveDependencies(job).stream()
                        .anyMatch(dependency -> simulation.users.job(dependency).cancelRequested()
                                && !DONE.equals(terminalStatus.get(dependency)));
    }

    /** Checks that each job cancelled without a request of its user has a dependency that ended cancelled. */
    private void checkCancelledDependents() {
        for (SimulatedJob job : simulation.users.jobs()) {
            if (CANCELLED.equals(terminalStatus.get(job.jobId()))
                    && !job.cancelRequested()
                    && transitiveDependencies(job).stream()
                            .noneMatch(dependency -> CANCELLED.equals(terminalStatus.get(dependency)))) {
                addViolation("went_back", job.jobId() + " is cancelled, but none of its dependencies is");
            }
        }
    }

    // --- state of jobs

    int completedCount(String jobId) {
        return completedTasks.getOrDefault(jobId, Set.of()).size();
    }

    /** True when all tasks of the job have completed. */
    boolean isComplete(String jobId) {
        return completedCount(jobId) >= simulation.users.job(jobId).tasks();
    }

    /** The time at which the first attempt of the job started, or the current time if none has. */
    long firstStartOrNow(SimulatedJob job) {
        return firstStart.getOrDefault(job.jobId(), simulation.now());
    }

    /**
     * The earliest time at which the job can start: its submission or the completion of its last dependency, whichever
     * is later; {@code Long.MAX_VALUE} while a dependency is incomplete.
     */
    long startableAt(SimulatedJob job) {
        long startableAtMs = job.submittedAt();
        for (String dependency : job.dependencies()) {
            startableAtMs = Math.max(startableAtMs, completeSince.getOrDefault(dependency, Long.MAX_VALUE));
        }
        return startableAtMs;
    }

    /** True when a user received the status cancelled for the job or for one of its transitive dependencies. */
    boolean isJobOrDependencyCancelled(SimulatedJob job) {
        return cancelledAt.containsKey(job.jobId())
                || transitiveDependencies(job).stream().anyMatch(cancelledAt::containsKey);
    }

    /** The ids of all jobs that the job depends on, directly or indirectly. */
    private Set<String> transitiveDependencies(SimulatedJob job) {
        Set<String> dependencies = new LinkedHashSet<>();
        Deque<String> toVisit = new ArrayDeque<>(job.dependencies());
        while (!toVisit.isEmpty()) {
            String jobId = toVisit.remove();
            if (dependencies.add(jobId)) {
                toVisit.addAll(simulation.users.job(jobId).dependencies());
            }
        }
        return dependencies;
    }
}
