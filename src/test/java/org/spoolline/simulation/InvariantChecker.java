package org.spoolline.simulation;

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
 * The safety rules of PROTOCOL, checked on what tasks do and users are told, without access to the controllers' state.
 * {@link ServiceLevelChecker} checks what must happen in time.
 */
public final class InvariantChecker {
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    private static final double ROUNDING = 1e-6;
    private static final String DONE = "done";
    private static final String CANCELLED = "aborted";

    private final Simulation simulation;
    private final ServiceLevelChecker serviceLevels;
    private final List<String> violations = new ArrayList<>();
    private final List<SimulatedTask> running = new ArrayList<>();
    private final Map<String, Set<Integer>> completedTasks = new HashMap<>();
    private final Map<String, Long> completeSince = new HashMap<>();
    private final Map<String, Long> firstStart = new HashMap<>();
    /** When a user was first told that the job is cancelled. */
    private final Map<String, Long> cancelledAt = new HashMap<>();

    private final Map<String, String> terminalStatus = new HashMap<>();
    private final Map<String, Long> terminalSince = new HashMap<>();
    private int starts;
    private Settings settings;

    InvariantChecker(Simulation simulation) {
        this.simulation = simulation;
        this.serviceLevels = new ServiceLevelChecker(simulation, this);
    }

    /** One line per violation, which begins with the rule's name. */
    public List<String> violations() {
        return violations;
    }

    /** How many attempts have started. */
    public int starts() {
        return starts;
    }

    /** From now on no fault is injected: every job must be served in time. */
    public void faultsEnded() {
        serviceLevels.faultsEnded();
    }

    /** Checks what must hold at the end of a scenario. */
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

    void violation(String rule, String what) {
        violations.add(rule + " at " + simulation.now() / 1000.0 + " s: " + what);
    }

    // --- what tasks do

    /** A worker received a launch, which may be as stale as a leadership allows, but no more. */
    void launchReceived(SimulatedTask task) {
        Long at = cancelledAt.get(task.jobId());
        if (at != null && simulation.now() > at + settings().leadershipMs() + RESPONSE_TIMEOUT_MS) {
            violation("started_cancelled", task.taskId() + ", cancelled at " + at / 1000.0 + " s");
        }
    }

    /** An attempt has its image and starts. */
    void taskStarted(SimulatedTask task) {
        starts++;
        firstStart.putIfAbsent(task.jobId(), simulation.now());
        SimulatedJob job = simulation.users.job(task.jobId());
        if (job == null) {
            violation("invented", task.taskId());
            return;
        }
        for (String dependency : job.dependencies()) {
            if (!isComplete(dependency)) {
                violation("too_early", task.taskId() + " started before " + dependency + " was done");
            }
        }
        checkAgainstRunning(task, job);
        checkMachine(task, job);
        checkCancelBound(task);
        running.add(task);
        Long at = cancelledAt.get(task.jobId());
        if (at != null) {
            simulation.at(Math.max(0, at + cancelMs() + 1 - simulation.now()), () -> checkTerminated(task));
        }
    }

    private void checkAgainstRunning(SimulatedTask task, SimulatedJob job) {
        double used = job.cores();
        int inZone = 1;
        for (SimulatedTask other : running) {
            SimulatedJob otherJob = simulation.users.job(other.jobId());
            if (other.taskId().equals(task.taskId())) {
                violation("ran_twice", task.taskId() + " on " + task.worker().name + " and " + other.worker().name);
            }
            if (otherJob.team().equals(job.team())) {
                used += otherJob.cores();
            }
            if (other.jobId().equals(task.jobId())) {
                boolean sameZone = other.worker().zone.equals(task.worker().zone);
                inZone += sameZone ? 1 : 0;
                if (job.requiresOneZone() && !sameZone) {
                    violation("wrong_place", task.taskId() + " in another zone than its job");
                }
            }
        }
        if (job.requiresSpread() && inZone > (job.tasks() + 1) / 2) {
            violation("wrong_place", task.taskId() + " makes too many in one zone");
        }
        if (used > quotaCores(job) + ROUNDING) {
            violation("quota", job.team() + " uses " + used);
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
            violation("wrong_place", task.taskId() + " on " + worker.name);
        }
    }

    private void checkCancelBound(SimulatedTask task) {
        Long at = cancelledAt.get(task.jobId());
        if (at != null && simulation.now() > at + cancelMs()) {
            violation("ran_cancelled", task.taskId());
        }
    }

    private void checkTerminated(SimulatedTask task) {
        if (running.contains(task)) {
            violation("ran_cancelled", task.taskId() + " is still on " + task.worker().name);
        }
    }

    /** A started attempt has exited, for whatever cause. */
    void taskEnded(SimulatedTask task) {
        running.remove(task);
    }

    /** An attempt has run to its end. */
    void taskCompleted(SimulatedTask task) {
        taskCompletedBefore(task.jobId(), task.index());
        if (isComplete(task.jobId())) {
            completeSince.putIfAbsent(task.jobId(), simulation.now());
        }
    }

    /** The task was complete before the scenario began. */
    void taskCompletedBefore(String jobId, int index) {
        completedTasks.computeIfAbsent(jobId, id -> new HashSet<>()).add(index);
    }

    // --- what users are told

    /** A job that can never run, or lacks a field, was accepted. */
    void invalidJobAccepted(String jobId) {
        violation("accepted_odd", jobId);
    }

    /** An accepted job was rejected or not found. */
    void jobForgotten(String jobId, int responseStatus) {
        violation("forgotten", jobId + " got " + responseStatus);
    }

    /** A job that nobody submitted was found. */
    void jobInvented(String jobId) {
        violation("invented", jobId);
    }

    /** A user was told this status; the response to a request older than the terminal status may arrive after it. */
    void statusReported(String jobId, String status, long askedAt) {
        SimulatedJob job = simulation.users.job(jobId);
        if (status.equals("pending") || status.equals("running")) {
            checkNotOrphaned(job, status);
        }
        String before = terminalStatus.get(jobId);
        if (before != null && !before.equals(status) && askedAt > terminalSince.get(jobId)) {
            violation("went_back", jobId + " was " + before + ", now " + status);
        }
        if (status.equals(DONE)) {
            becomeTerminal(jobId, status);
            if (completedCount(jobId) < job.tasks()) {
                violation("not_done", jobId);
            }
        } else if (status.equals(CANCELLED)) {
            becomeTerminal(jobId, status);
            cancellationReported(job);
        }
    }

    private void checkNotOrphaned(SimulatedJob job, String status) {
        for (String ancestor : ancestors(job)) {
            Long at = cancelledAt.get(ancestor);
            if (at != null && simulation.now() > at + cancelMs()) {
                violation("orphaned", job.jobId() + " is " + status + " though " + ancestor + " is cancelled");
            }
        }
    }

    private void becomeTerminal(String jobId, String status) {
        terminalSince.putIfAbsent(jobId, simulation.now());
        terminalStatus.put(jobId, status);
    }

    private void cancellationReported(SimulatedJob job) {
        if (!cancelRequestedForJobOrDependency(job)) {
            violation("went_back", job.jobId() + " was not cancelled by its user");
        }
        if (cancelledAt.putIfAbsent(job.jobId(), simulation.now()) == null) {
            for (SimulatedTask task : List.copyOf(running)) {
                if (task.jobId().equals(job.jobId())) {
                    simulation.at(cancelMs() + 1, () -> checkTerminated(task));
                }
            }
        }
    }

    /** True when its user cancelled the job, or one that it depends on and that was not reported done. */
    private boolean cancelRequestedForJobOrDependency(SimulatedJob job) {
        return job.cancelRequested()
                || ancestors(job).stream()
                        .anyMatch(ancestor -> simulation.users.job(ancestor).cancelRequested()
                                && !DONE.equals(terminalStatus.get(ancestor)));
    }

    /** A job that is cancelled without its user's request needs a dependency that is cancelled in the end. */
    private void checkCancelledDependents() {
        for (SimulatedJob job : simulation.users.jobs()) {
            if (CANCELLED.equals(terminalStatus.get(job.jobId()))
                    && !job.cancelRequested()
                    && ancestors(job).stream().noneMatch(a -> CANCELLED.equals(terminalStatus.get(a)))) {
                violation("went_back", job.jobId() + " is cancelled, but no job that it needs");
            }
        }
    }

    // --- what is known of jobs

    int completedCount(String jobId) {
        return completedTasks.getOrDefault(jobId, Set.of()).size();
    }

    /** True when all tasks of the job have completed. */
    boolean isComplete(String jobId) {
        return completedCount(jobId) >= simulation.users.job(jobId).tasks();
    }

    /** When the first attempt of the job started, or now. */
    long firstStartOrNow(SimulatedJob job) {
        return firstStart.getOrDefault(job.jobId(), simulation.now());
    }

    /** When the job could first start: at its submission, or with the completion of its last dependency. */
    long startableAt(SimulatedJob job) {
        long at = job.submittedAt();
        for (String dependency : job.dependencies()) {
            at = Math.max(at, completeSince.getOrDefault(dependency, Long.MAX_VALUE));
        }
        return at;
    }

    /** True when a user was told that the job, or one that it depends on, is cancelled. */
    boolean isCancelledWithDependencies(SimulatedJob job) {
        return cancelledAt.containsKey(job.jobId()) || ancestors(job).stream().anyMatch(cancelledAt::containsKey);
    }

    /** All jobs that this one depends on, directly or through others. */
    private Set<String> ancestors(SimulatedJob job) {
        Set<String> all = new LinkedHashSet<>();
        Deque<String> toVisit = new ArrayDeque<>(job.dependencies());
        while (!toVisit.isEmpty()) {
            String jobId = toVisit.remove();
            if (all.add(jobId)) {
                toVisit.addAll(simulation.users.job(jobId).dependencies());
            }
        }
        return all;
    }
}
