package org.spoolline.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.job.TeamQuotas;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.reconcile.DesiredState;

/**
 * Computes the orders for a machine: the difference between the attempts that are stored for its incarnation and the
 * attempts that its last heartbeat lists. It keeps no state. It counts the launches that it withholds and unexpected
 * attempts in heartbeats; the caller counts and records the orders that it sends. Runs once per heartbeat, so it uses
 * plain loops instead of streams.
 */
final class OrderPlanner {
    private final JobTable jobs;
    private final TeamQuotas quotas;
    private final DesiredState desiredState;
    private final Counters counters;

    OrderPlanner(JobTable jobs, TeamQuotas quotas, DesiredState desiredState, Counters counters) {
        this.jobs = jobs;
        this.quotas = quotas;
        this.desiredState = desiredState;
        this.counters = counters;
    }

    /**
     * All orders that the machine currently needs, stops and clears before launches. The view of the jobs must be
     * recent enough to launch tasks.
     */
    List<Order> ordersFor(Machine machine) {
        Map<AttemptId, Attempt> stored = jobs.attemptsOn(machine.name());
        List<Order> orders = new ArrayList<>();
        addStopsAndClears(machine, stored, orders);
        addLaunches(machine, stored, orders);
        return orders;
    }

    /**
     * Stop orders for the attempts of jobs that are known to be cancelled. They are correct even if the view of the
     * jobs is stale, because a cancellation is never reverted.
     */
    List<Order> stopsOfCancelledJobs(Machine machine) {
        List<Order> orders = new ArrayList<>();
        for (Map.Entry<AttemptId, TaskStatus> listed : machine.tasks().entrySet()) {
            JobEntry job = jobs.get(listed.getKey().jobId());
            if (listed.getValue().phase() != TaskStatus.Phase.EXITED && job != null && job.cancelled()) {
                orders.add(new Order.Stop(listed.getKey(), 0));
            }
        }
        return orders;
    }

    /** True when the machine's last heartbeat does not list an active attempt that is stored for its incarnation. */
    boolean hasUnreportedAttempt(Machine machine) {
        for (Map.Entry<AttemptId, Attempt> entry :
                jobs.attemptsOn(machine.name()).entrySet()) {
            if (isUnreported(machine, entry.getKey(), entry.getValue())
                    && isActive(jobs.get(entry.getKey().jobId()), entry.getValue())) {
                return true;
            }
        }
        return false;
    }

    /**
     * True when the machine's last heartbeat lists a stored attempt as exited, so that its capacity can be released.
     */
    boolean listsExitOfStoredAttempt(Machine machine) {
        Map<AttemptId, Attempt> stored = jobs.attemptsOn(machine.name());
        for (Map.Entry<AttemptId, TaskStatus> listed : machine.tasks().entrySet()) {
            if (listed.getValue().phase() == TaskStatus.Phase.EXITED && stored.containsKey(listed.getKey())) {
                return true;
            }
        }
        return false;
    }

    private void addStopsAndClears(Machine machine, Map<AttemptId, Attempt> stored, List<Order> orders) {
        for (Map.Entry<AttemptId, TaskStatus> listed : machine.tasks().entrySet()) {
            AttemptId attemptId = listed.getKey();
            TaskStatus.Phase phase = listed.getValue().phase();
            Attempt attempt = stored.get(attemptId);
            boolean isStored = attempt != null && attempt.incarnation() == machine.incarnation();
            if (phase == TaskStatus.Phase.EXITED) {
                if (!isStored) {
                    countIfLaunchRejected(listed.getValue());
                    orders.add(new Order.Clear(attemptId));
                }
                continue;
            }
            JobEntry job = jobs.get(attemptId.jobId());
            if (isStored && !isActive(job, attempt)) {
                counters.count(Event.HEARTBEAT_LISTED_RELEASED_ATTEMPT);
            }
            OptionalDouble graceS = isStored ? stopGraceS(job, attemptId, attempt) : OptionalDouble.of(0);
            if (graceS.isPresent() && !isStoppingGracefully(phase, graceS.getAsDouble())) {
                orders.add(new Order.Stop(attemptId, graceS.getAsDouble()));
            }
        }
    }

    private static boolean isStoppingGracefully(TaskStatus.Phase phase, double graceS) {
        return phase == TaskStatus.Phase.SAVING_CHECKPOINT && graceS > 0;
    }

    private void addLaunches(Machine machine, Map<AttemptId, Attempt> stored, List<Order> orders) {
        for (Map.Entry<AttemptId, Attempt> entry : stored.entrySet()) {
            AttemptId attemptId = entry.getKey();
            if (orders.size() < Constants.Heartbeat.MAX_ORDERS
                    && isUnreported(machine, attemptId, entry.getValue())
                    && mayLaunch(machine, attemptId, entry.getValue())) {
                orders.add(new Order.Launch(attemptId));
            }
        }
    }

    private boolean mayLaunch(Machine machine, AttemptId attemptId, Attempt attempt) {
        JobEntry job = jobs.get(attemptId.jobId());
        return stopGraceS(job, attemptId, attempt).isEmpty()
                && isGangReady(attemptId)
                && isWithinTeamLimit(job)
                && !runsOtherAttempt(machine, attemptId);
    }

    private static boolean isUnreported(Machine machine, AttemptId attemptId, Attempt attempt) {
        return attempt.incarnation() == machine.incarnation()
                && !machine.tasks().containsKey(attemptId);
    }

    private boolean isGangReady(AttemptId attemptId) {
        boolean allowed = desiredState.mayLaunch(attemptId);
        if (!allowed) {
            counters.count(Event.LAUNCH_WITHHELD_GANG_FETCHING);
        }
        return allowed;
    }

    /**
     * True while the resources of all active attempts of the team, whether they run yet or not, are within the team's
     * limit. The placements of the current leader respect the limit. The attempts that its predecessor stored can
     * exceed it if the predecessor stopped between two writes.
     */
    private boolean isWithinTeamLimit(JobEntry job) {
        boolean withinLimit = !quotas.exceeded(job.committed().spec().team());
        if (!withinLimit) {
            counters.count(Event.LAUNCH_WITHHELD_TEAM_LIMIT);
        }
        return withinLimit;
    }

    /**
     * Counts a rejected launch of an attempt that is no longer stored. Apart from the clear order it needs no further
     * action.
     */
    private void countIfLaunchRejected(TaskStatus status) {
        switch (status.exitReason()) {
            case INSUFFICIENT_CAPACITY, ALREADY_RUNNING, UNKNOWN -> counters.count(Event.REJECTED_LAUNCH_NOT_STORED);
            default -> {}
        }
    }

    private static boolean isActive(JobEntry job, Attempt attempt) {
        return job != null && job.isActive(attempt);
    }

    /** The grace period in seconds with which a stored attempt is to be stopped; empty when it is to continue. */
    private OptionalDouble stopGraceS(JobEntry job, AttemptId attemptId, Attempt attempt) {
        if (!isActive(job, attempt) || job.cancelled()) {
            return OptionalDouble.of(0);
        }
        return desiredState.stopGraceS(attemptId);
    }

    /** True when the machine's last heartbeat lists another attempt of the same task that has not exited. */
    private static boolean runsOtherAttempt(Machine machine, AttemptId attemptId) {
        for (TaskStatus status : machine.tasks().values()) {
            if (status.task() == attemptId.task()
                    && status.jobId().equals(attemptId.jobId())
                    && status.attempt() != attemptId.attempt()
                    && status.phase() != TaskStatus.Phase.EXITED) {
                return true;
            }
        }
        return false;
    }
}
