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

/** Applies the reported exit of a task to its job and to what is known of its machine. */
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

    /** Applies the exit of an attempt on a machine to the job, whose value is changed. */
    void apply(Pipeline job, Attempt attempt, Machine machine, TaskStatus status) {
        switch (status.exitReason()) {
            case COMPLETED -> completed(job, attempt, machine);
            case FAILED -> failed(job, attempt, machine);
            case INSUFFICIENT_CAPACITY, ALREADY_RUNNING, UNKNOWN -> launchRejected(job, attempt, status, machine);
            case STOPPED, GANG_MEMBER_LOST -> ended(job, attempt, status, machine);
            case GANG_WAIT_TIMEOUT -> {
                keepMachine(job.spec(), machine);
                ended(job, attempt, status, machine);
            }
        }
    }

    private void completed(Pipeline job, Attempt attempt, Machine machine) {
        machine.recordTaskCompletion();
        if (job.spec().shape() == Submission.Shape.SERVICE) {
            // A service never completes: its task is started again until the user cancels.
            job.loseAttempt(attempt);
            backOff(job);
        } else if (job.cancelled()) {
            job.loseAttempt(attempt);
        } else {
            if (job.spec().gang()) {
                completeGang(job);
            }
            job.completeAttempt(attempt);
        }
    }

    /** By the protocol a gang completes together: if one task is done, every one is. */
    private static void completeGang(Pipeline job) {
        for (int task = 0; task < job.spec().tasks(); task++) {
            job.completeTask(task);
        }
    }

    /** A job that fails everywhere says little about a machine; several jobs that fail on one machine do. */
    private void failed(Pipeline job, Attempt attempt, Machine machine) {
        job.loseAttempt(attempt);
        LOG.info(
                "Task failed: job={} task={} attempt={} machine={}",
                job.jobId(),
                attempt.task(),
                attempt.number(),
                machine.name());
        job.recordTaskFailure(machine.name(), loop.timeOfDay());
        int failedJobs = machine.recordTaskFailure(job.jobId());
        if (failedJobs >= Constants.Heartbeat.DRAIN_FAILED_JOBS && !machine.draining()) {
            LOG.info("Draining machine: machine={} reason=task_failures jobs={}", machine.name(), failedJobs);
            machine.drain();
        }
    }

    private void launchRejected(Pipeline job, Attempt attempt, TaskStatus status, Machine machine) {
        job.loseAttempt(attempt);
        LOG.info(
                "Launch rejected: job={} task={} attempt={} machine={} reason={}",
                job.jobId(),
                attempt.task(),
                attempt.number(),
                machine.name(),
                status.exitReason());
        backOff(job);
    }

    private static void ended(Pipeline job, Attempt attempt, TaskStatus status, Machine machine) {
        job.loseAttempt(attempt);
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
     * Keeps the machine of a gang member that gave up waiting for members which still fetch a large image. It has the
     * image; with other work placed there meanwhile, the gang would fetch elsewhere and time out again, by turns.
     */
    private void keepMachine(Submission spec, Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        long fetchMs = type == null ? 0 : (long) (spec.imageGb() / type.fetchGbPerS() * 1000);
        reservations.keep(spec.jobId(), machine.name(), Math.max(Constants.Placement.RESERVATION_MS, fetchMs));
    }
}
