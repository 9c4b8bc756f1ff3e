package org.spoolline.simulation;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.spoolline.simulation.SimulatedTask.ExitCause;
import org.spoolline.simulation.SimulatedTask.Phase;

/** The members of each gang attempt: they wait for each other, run together and fail together. */
final class SimulatedGangs {
    private static final long GANG_WAIT_MS = 30_000;
    private static final long MEMBER_CHECK_INTERVAL_MS = 500;
    private static final long MEMBER_LOSS_DETECTION_MS = 2_000;

    private final Simulation simulation;
    /** Members that have fetched their image, by job id and attempt number. */
    private final Map<String, Set<SimulatedTask>> membersByAttempt = new HashMap<>();

    SimulatedGangs(Simulation simulation) {
        this.simulation = simulation;
    }

    /**
     * Adds a member that has fetched its image. The gang starts to run once all members of the attempt are live and
     * have their image; a member that waits longer than {@link #GANG_WAIT_MS} exits.
     */
    void imagePulled(SimulatedTask task) {
        Set<SimulatedTask> members = members(task);
        members.add(task);
        members.removeIf(member -> !member.isAlive());
        SimulatedJob job = simulation.users.job(task.jobId());
        if (members.size() == job.tasks()) {
            for (SimulatedTask member : members) {
                member.enter(Phase.RUNNING);
                member.worker().requestHeartbeat();
            }
            task.worker().runFor(task, job.gangRunMs());
            checkMembers(task);
        } else {
            simulation.at(GANG_WAIT_MS, () -> {
                if (task.phase() == Phase.WAITING_FOR_GANG) {
                    task.exit(ExitCause.GANG_INCOMPLETE);
                }
            });
        }
    }

    private void checkMembers(SimulatedTask task) {
        Set<SimulatedTask> members = members(task);
        if (members.stream().allMatch(SimulatedTask::isAlive)) {
            simulation.at(MEMBER_CHECK_INTERVAL_MS, () -> checkMembers(task));
            return;
        }
        if (members.stream()
                .anyMatch(member ->
                        member.cause().filter(ExitCause.COMPLETED::equals).isPresent())) {
            return;
        }
        simulation.at(
                MEMBER_LOSS_DETECTION_MS, () -> members.forEach(member -> member.exit(ExitCause.GANG_MEMBER_LOST)));
    }

    /** Completes all members when the run time of the gang has elapsed, unless a member has exited before. */
    void complete(SimulatedTask task) {
        Set<SimulatedTask> members = members(task);
        if (!members.stream().allMatch(SimulatedTask::isAlive)) {
            return;
        }
        members.forEach(simulation.invariants::taskCompleted);
        members.forEach(member -> member.exit(ExitCause.COMPLETED));
        simulation.users.taskCompleted(task);
    }

    private Set<SimulatedTask> members(SimulatedTask task) {
        return membersByAttempt.computeIfAbsent(task.jobId() + "#" + task.attempt(), attempt -> new LinkedHashSet<>());
    }
}
