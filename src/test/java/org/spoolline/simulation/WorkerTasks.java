package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.spoolline.simulation.SimulatedTask.ExitCause;
import org.spoolline.simulation.SimulatedTask.Phase;

/** The attempts on one worker, and the execution of the launch, kill and clear commands. */
final class WorkerTasks {
    private static final long CACHED_IMAGE_PULL_MS = 50;
    private static final long PROGRESS_STEP_MS = 200;

    private final Simulation simulation;
    private final FakeWorker worker;
    /** Attempts by task id and attempt number, in order of launch. */
    private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();

    private final Set<String> cachedImages = new HashSet<>();

    WorkerTasks(Simulation simulation, FakeWorker worker) {
        this.simulation = simulation;
        this.worker = worker;
    }

    /** A copy of the attempts in order of launch. */
    List<SimulatedTask> list() {
        return new ArrayList<>(tasks.values());
    }

    /** Cores allocated to live attempts; an attempt that still fetches its image counts as live. */
    double usedCores() {
        return tasks.values().stream()
                .filter(SimulatedTask::isAlive)
                .mapToDouble(task -> jobOf(task).cores())
                .sum();
    }

    /** Ends all live attempts as lost with the machine and removes all attempts. */
    void loseAll() {
        tasks.values().forEach(SimulatedTask::lose);
        tasks.clear();
    }

    /** Adds the status of each attempt to the array of a heartbeat. */
    void writeStatus(ArrayNode statuses) {
        for (SimulatedTask task : tasks.values()) {
            ObjectNode status = statuses.addObject()
                    .put("slip", task.taskId())
                    .put("try", task.attempt())
                    .put("status", task.phase().wireName());
            task.cause()
                    .ifPresent(cause -> status.put("cause", cause.wireName()).put("kept", task.checkpointSaved()));
        }
    }

    /**
     * Executes one command of the leader. Commands are idempotent.
     *
     * @param orderedAt simulated time in ms at which the leader gave the command
     */
    void execute(JsonNode command, long orderedAt) {
        String taskId = command.path("slip").asText();
        long attempt = command.path("try").asLong();
        String attemptId = taskId + "#" + attempt;
        SimulatedTask existing = tasks.get(attemptId);
        switch (command.path("verb").asText()) {
            case "launch" -> {
                if (existing == null) {
                    launch(attemptId, new SimulatedTask(simulation.invariants, worker, taskId, attempt), orderedAt);
                }
            }
            case "kill" -> {
                if (existing != null && existing.isAlive()) {
                    existing.kill(command.path("windDownS").asDouble() >= 1
                            && jobOf(existing).savesCheckpoints());
                }
            }
            case "clear" -> {
                if (existing != null && !existing.isAlive()) {
                    tasks.remove(attemptId);
                }
            }
            default -> throw new AssertionError(command);
        }
    }

    private void launch(String attemptId, SimulatedTask task, long orderedAt) {
        Optional<ExitCause> rejectionCause = rejectionCause(task);
        tasks.put(attemptId, task);
        if (rejectionCause.isPresent()) {
            task.exit(rejectionCause.get());
            return;
        }
        worker.requestHeartbeat();
        simulation.invariants.launchReceived(task, orderedAt);
        String image = jobOf(task).image();
        long pullMs = cachedImages.contains(image) ? CACHED_IMAGE_PULL_MS : simulation.users.imagePullMs(task.jobId());
        simulation.at(pullMs, () -> imagePulled(task, image));
    }

    /** Why the worker rejects the launch of a new attempt, or empty if it accepts the launch. */
    private Optional<ExitCause> rejectionCause(SimulatedTask task) {
        if (!simulation.users.hasSubmitted(task.jobId())) {
            return Optional.of(ExitCause.JOB_UNKNOWN);
        }
        double usedCores = 0;
        for (SimulatedTask other : tasks.values()) {
            if (other.isAlive()) {
                usedCores += jobOf(other).cores();
                if (other.taskId().equals(task.taskId())) {
                    return Optional.of(ExitCause.ALREADY_RUNNING);
                }
            }
        }
        return usedCores + jobOf(task).cores() > worker.cores() ? Optional.of(ExitCause.NO_CAPACITY) : Optional.empty();
    }

    private void imagePulled(SimulatedTask task, String image) {
        if (worker.isDown() || !task.isAlive() || !tasks.containsValue(task)) {
            return;
        }
        cachedImages.add(image);
        simulation.invariants.taskStarted(task);
        SimulatedJob job = jobOf(task);
        if (!job.isGang() && simulation.invariants.isTaskComplete(task)) {
            // Workers keep the results of completed tasks.
            task.enter(Phase.RUNNING);
            task.exit(ExitCause.COMPLETED);
        } else if (worker.failsEveryTask || job.failsEverywhere()) {
            task.enter(Phase.RUNNING);
            task.exit(ExitCause.FAILED);
        } else if (job.isGang()) {
            task.enter(Phase.WAITING_FOR_GANG);
            simulation.users.gangs().imagePulled(task);
        } else {
            task.enter(Phase.RUNNING);
            runFor(task, job.runMs(task.index()));
        }
        worker.requestHeartbeat();
    }

    /**
     * Completes the task, or its gang, after it has run for the remaining time, unless the attempt ends earlier. Time
     * during which the worker hangs does not count.
     */
    void runFor(SimulatedTask task, long remainingMs) {
        simulation.at(PROGRESS_STEP_MS, () -> {
            if (worker.isDown() || !task.isAlive()) {
                return;
            }
            long remainingAfterStepMs = worker.isHanging() ? remainingMs : remainingMs - PROGRESS_STEP_MS;
            if (remainingAfterStepMs > 0) {
                runFor(task, remainingAfterStepMs);
            } else if (jobOf(task).isGang()) {
                simulation.users.gangs().complete(task);
            } else {
                simulation.invariants.taskCompleted(task);
                task.exit(ExitCause.COMPLETED);
                simulation.users.taskCompleted(task);
            }
        });
    }

    private SimulatedJob jobOf(SimulatedTask task) {
        return simulation.users.job(task.jobId());
    }
}
