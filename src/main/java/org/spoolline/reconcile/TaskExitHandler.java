package org.spoolline.reconcile;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Applies the reported exit of an attempt to its job and to the failure and completion records of its machine. */
final class TaskExitHandler {
    private static final Logger LOG = LoggerFactory.getLogger(TaskExitHandler.class);

    private final EventLoop loop;
    private final MachineTypeCatalog catalog;
    private final MachineReservations reservations;

    TaskExitHandler(EventLoop loop, MachineTypeCatalog catalog, MachineReservations reservations) {
        this.loop = loop;
        this.catalog = catalog;
        this.reservations = reservations;
    }

    /**
     * Applies the exit status of an attempt to the job, which is modified in place, and to the machine that reported
     * it.
     */
    void apply(Pipeline job, Attempt attempt, Machine machine, TaskStatus status) {
        switch (status.exitReason()) {
            case COMPLETED -> applyCompletion(job, attempt, machine);
            case FAILED -> applyFailure(job, attempt, machine);
            case INSUFFICIENT_CAPACITY, ALREADY_RUNNING, UNKNOWN -> applyLaunchRejection(job, attempt, status, machine);
            case STOPPED, GANG_MEMBER_LOST -> applyEnd(job, attempt, status, machine);
            case GANG_WAIT_TIMEOUT -> {
                reserveMachine(job.spec(), machine);
                applyEnd(job, attempt, status, machine);
            }
        }
    }

    private void applyCompletion(Pipeline job, Attempt attempt, Machine machine) {
        machine.recordTaskCompletion();
        if (job.spec().shape() == Submission.Shape.SERVICE) {
            // A service never completes: its tasks are placed again until the user cancels the job.
            job.retireAttempt(attempt);
            backOff(job);
        } else if (job.cancelled()) {
            job.retireAttempt(attempt);
        } else {
            if (job.spec().gang()) {
                completeGang(job);
            }
            job.completeAttempt(attempt);
        }
    }

    /**
     * Completes all tasks of the gang: by the worker protocol a gang completes as a whole, so one completed task
     * implies the others.
     */
    private static void completeGang(Pipeline job) {
        for (int task = 0; task < job.spec().tasks(); task++) {
            job.completeTask(task);
        }
    }

    /**
     * Records the failure with the job and with the machine. A machine is drained after failures of several different
     * jobs, because a single job that fails on every machine indicates no fault of the machine.
     */
    private void applyFailure(Pipeline job, Attempt attempt, Machine machine) {
        job.retireAttempt(attempt);
        LOG.info(
                "Task failed: job={} task={} attempt={} machine={}",
                job.jobId(),
                attempt.task(),
                attempt.number(),
                machine.name());
        job.recordTaskFailure(machine.name(), loop.timeOfDay());
        int failedJobs = machine.recordTaskFailure(job.jobId());
        if (failedJobs >= Constants.Heartbeat.MACHINE_ERROR_JOBS && !machine.draining()) {
            LOG.info("Draining machine: machine={} reason=task_failures jobs={}", machine.name(), failedJobs);
            machine.drain();
        }
    }

    private void applyLaunchRejection(Pipeline job, Attempt attempt, TaskStatus status, Machine machine) {
        job.retireAttempt(attempt);
        LOG.info(
                "Launch rejected: job={} task={} attempt={} machine={} reason={}",
                job.jobId(),
                attempt.task(),
                attempt.number(),
                machine.name(),
                status.exitReason());
        backOff(job);
    }

    private static void applyEnd(Pipeline job, Attempt attempt, TaskStatus status, Machine machine) {
        job.retireAttempt(attempt);
        LOG.debug(
                "Attempt ended: job={} task={} attempt={} machine={} reason={} checkpointed={}",
                job.jobId(),
                attempt.task(),
                attempt.number(),
                machine.name(),
                status.exitReason(),
                status.checkpointed());
    }

    private void backOff(Pipeline job) {
        job.backOffUntil(loop.timeOfDay() + Constants.Cycle.LAUNCH_REJECTED_BACKOFF_MS);
    }

    /**
     * Reserves the machine of a gang member whose wait timed out while other members were still fetching a large
     * image. This machine already has the image. If other tasks were placed on it, the gang would have to fetch the
     * image on another machine and time out again, repeatedly. The reservation lasts at least as long as an image
     * fetch.
     */
    private void reserveMachine(Submission spec, Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        long fetchMs = type == null ? 0 : (long) (spec.imageGb() / type.fetchGbPerS() * 1000);
        reservations.reserve(spec.jobId(), machine.name(), Math.max(Constants.Placement.RESERVATION_MS, fetchMs));
    }
}
