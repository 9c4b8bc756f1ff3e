package org.spoolline.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.job.JobTable;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.reconcile.TerminationProof;

/**
 * Steps single pipelines by what is proven about their attempts, and decides which attempts are to be stopped: those of
 * broken gangs, on machines that are about to go, or in the way of others.
 */
final class AttemptReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

    private final EventLoop loop;
    private final Settings settings;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final Reservations reservations;
    private final OrderNotifier notifier;

    private TerminationProof terminationProof;
    /** The grace in seconds with which attempts are to end, by job. */
    private final Map<String, Map<AttemptId, Double>> stops = new HashMap<>();
    /** When this leader first saw a cancelled job with unlisted attempts. */
    private final Map<String, Long> unlistedSince = new HashMap<>();

    AttemptReconciler(
            EventLoop loop,
            Settings settings,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            Reservations reservations,
            OrderNotifier notifier) {
        this.loop = loop;
        this.settings = settings;
        this.catalog = catalog;
        this.machines = machines;
        this.reservations = reservations;
        this.notifier = notifier;
    }

    /** Forgets everything of an earlier term; {@code newEvidence} counts for the present one. */
    void begin(TerminationProof newProof) {
        terminationProof = newProof;
        stops.clear();
        unlistedSince.clear();
    }

    /** The job is over. */
    void forget(String jobId) {
        stops.remove(jobId);
        unlistedSince.remove(jobId);
    }

    /** True when some attempt of the job is to be stopped. */
    boolean stopping(String jobId) {
        return stops.containsKey(jobId);
    }

    /** The grace in seconds with which an attempt is to end; null for those that are to go on. */
    Double graceOf(AttemptId attemptId) {
        return stops.getOrDefault(attemptId.jobId(), Map.of()).get(attemptId);
    }

    /** The task's phase as last reported; one not yet seen counts as fetching. */
    TaskStatus.Phase phase(AttemptId attemptId, Attempt attempt) {
        Machine machine = machines.get(attempt.machine());
        TaskStatus status = machine == null ? null : machine.tasks().get(attemptId);
        return status == null ? TaskStatus.Phase.FETCHING_IMAGE : status.phase();
    }

    /** One job that can't be judged must not stop the cycles for all others. */
    Pipeline tryReconcile(JobTable.Entry entry, Collection<Attempt> due) {
        try {
            return reconcile(entry, due);
        } catch (RuntimeException e) {
            LOG.error("{} can't be judged", entry.committed().jobId(), e);
            return null;
        }
    }

    /** Steps one pipeline by what is proven about the attempts that are due; null when nothing changes. */
    private Pipeline reconcile(JobTable.Entry entry, Collection<Attempt> due) {
        Pipeline now = entry.committed();
        Submission spec = now.spec();
        stops.remove(now.jobId());
        reservations.forEachEvicted(now.jobId(), this::stop);
        Pipeline next = null;
        int gone = 0;
        for (Attempt attempt : due) {
            if (!now.hasAttempt(attempt)) {
                continue;
            }
            Machine machine = machines.get(attempt.machine());
            TerminationProof.Finding finding = terminationProof.judge(now.jobId(), attempt, machine, loop.now());
            boolean unwanted = now.cancelled()
                    || stopForEviction(spec, machine, attempt, now)
                    || graceOf(AttemptId.of(now.jobId(), attempt)) != null;
            if (now.cancelled() && finding.verdict() == TerminationProof.Verdict.ALIVE) {
                notifier.add(attempt.machine());
            }
            switch (finding.verdict()) {
                case EXITED -> {
                    next = next == null ? now.copy() : next;
                    exited(next, attempt, machine, finding.status());
                }
                case TERMINATED -> {
                    next = next == null ? now.copy() : next;
                    next.loseAttempt(attempt);
                    gone++;
                    LOG.debug(
                            "{}/{} attempt {} is gone with {}",
                            now.jobId(),
                            attempt.task(),
                            attempt.number(),
                            attempt.machine());
                }
                case ABSENT -> {
                    if (unwanted) {
                        next = next == null ? now.copy() : next;
                        next.loseAttempt(attempt);
                    }
                }
                default -> {}
            }
        }
        if (gone > 0) {
            // One line a job: hundreds of tasks may be gone after a crash of all controllers, when time is short.
            LOG.info("{}: {} attempts are gone with their machines", now.jobId(), gone);
        }
        Pipeline result = next == null ? now : next;
        if (spec.gang() && !result.succeeded() && !result.attempts().isEmpty()) {
            next = reconcileGang(now, result, next);
        }
        if (next == null && now.cancelled() && now.attempts().isEmpty() && unlistedAreGone(now)) {
            next = now.copy();
            next.clearUnlistedAttempts();
        }
        return next;
    }

    /** Of a job cancelled with unlisted attempts, none is left cancel_s after its value was stored, so after it was read. */
    private boolean unlistedAreGone(Pipeline cancelled) {
        if (cancelled.unlistedAttempts() == 0) {
            return true;
        }
        long since = unlistedSince.computeIfAbsent(cancelled.jobId(), jobId -> loop.now());
        return loop.now() - since > settings.workers().cancelMs() * (1 + Constants.Time.DRIFT);
    }

    /** A gang that has lost a member ends as a whole, and starts again once every member is proven gone. */
    private Pipeline reconcileGang(Pipeline now, Pipeline result, Pipeline next) {
        boolean started = result.attempts().stream()
                .anyMatch(attempt -> switch (phase(AttemptId.of(now.jobId(), attempt), attempt)) {
                    case FETCHING_IMAGE, WAITING_FOR_GANG -> false;
                    default -> true;
                });
        // Before the start, the rest may wait for a replacement under the same attempt number.
        boolean broken = result.attempts().size() < now.spec().tasks() && started;
        boolean stopping =
                result.attempts().stream().anyMatch(attempt -> graceOf(AttemptId.of(now.jobId(), attempt)) != null);
        if (!broken && !stopping) {
            return next;
        }
        double grace = broken ? 0 : now.spec().stopGraceS();
        Pipeline changed = next;
        for (Attempt attempt : List.copyOf(result.attempts())) {
            stop(now.jobId(), attempt, grace);
            if (terminationProof
                            .judge(now.jobId(), attempt, machines.get(attempt.machine()), loop.now())
                            .verdict()
                    == TerminationProof.Verdict.ABSENT) {
                changed = changed == null ? now.copy() : changed;
                changed.loseAttempt(attempt);
            }
        }
        return changed;
    }

    /** A task that can save leaves a machine that the cloud is about to take, or that is emptied to be returned. */
    private boolean stopForEviction(Submission spec, Machine machine, Attempt attempt, Pipeline job) {
        if (machine == null || machine.interruptionNoticeS() == null && !machine.evacuating()) {
            return false;
        }
        TaskStatus status = machine.tasks().get(AttemptId.of(job.jobId(), attempt));
        boolean started = status != null && status.phase() != TaskStatus.Phase.FETCHING_IMAGE;
        if (started && !spec.checkpoints()) {
            return false;
        }
        stop(job.jobId(), attempt, spec.stopGraceS());
        return true;
    }

    private void stop(String jobId, Attempt attempt, double grace) {
        notifier.add(attempt.machine());
        stop(AttemptId.of(jobId, attempt), grace);
    }

    void stop(AttemptId attemptId, double grace) {
        stops.computeIfAbsent(attemptId.jobId(), u -> new HashMap<>()).put(attemptId, grace);
    }

    private void exited(Pipeline next, Attempt attempt, Machine machine, TaskStatus status) {
        String jobId = next.jobId();
        switch (status.exitReason()) {
            case COMPLETED -> {
                machine.recordTaskCompletion();
                if (next.spec().shape() == Submission.Shape.SERVICE) {
                    next.loseAttempt(attempt);
                    // A service is never done: its task is started again until the user cancels.
                    next.backOffUntil(loop.timeOfDay() + Constants.Cycle.LAUNCH_REJECTED_BACKOFF_MS);
                } else if (next.cancelled()) {
                    next.loseAttempt(attempt);
                } else {
                    if (next.spec().gang()) {
                        // The protocol: a gang completes together; if one task is done, every one is.
                        for (int task = 0; task < next.spec().tasks(); task++) {
                            next.completeTask(task);
                        }
                    }
                    next.completeAttempt(attempt);
                }
            }
            case FAILED -> {
                next.loseAttempt(attempt);
                LOG.info("{}/{} attempt {} failed on {}", jobId, attempt.task(), attempt.number(), machine.name());
                next.recordTaskFailure(machine.name(), loop.timeOfDay());
                // A job that fails everywhere says little about a machine; several jobs failing on one do.
                if (machine.recordTaskFailure(jobId) >= Constants.Heartbeat.MACHINE_ERROR_JOBS && !machine.draining()) {
                    LOG.info("machine {} fails tasks of several jobs and is emptied", machine.name());
                    machine.drain();
                }
            }
            case INSUFFICIENT_CAPACITY, ALREADY_RUNNING, UNKNOWN -> {
                next.loseAttempt(attempt);
                LOG.info(
                        "{}/{} attempt {} refused by {}: {}",
                        jobId,
                        attempt.task(),
                        attempt.number(),
                        machine.name(),
                        status.exitReason());
                next.backOffUntil(loop.timeOfDay() + Constants.Cycle.LAUNCH_REJECTED_BACKOFF_MS);
            }
            case STOPPED, GANG_MEMBER_LOST, GANG_WAIT_TIMEOUT -> {
                next.loseAttempt(attempt);
                if (status.exitReason() == TaskStatus.ExitReason.GANG_WAIT_TIMEOUT) {
                    keepPlace(next.spec(), machine);
                }
                LOG.debug(
                        "{}/{} attempt {} ended on {}: {}{}",
                        jobId,
                        attempt.task(),
                        attempt.number(),
                        machine.name(),
                        status.exitReason(),
                        status.checkpointed() ? ", saved" : "");
            }
        }
    }

    /**
     * A gang's task waited in vain for mates that still fetch a large image. Its machine has the image; given to others
     * meanwhile, the gang would fetch again elsewhere and again wait in vain, by turns.
     */
    private void keepPlace(Submission spec, Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        long fetchMs = type == null ? 0 : (long) (spec.imageGb() / type.fetchGbPerS() * 1000);
        reservations.keep(spec.jobId(), machine.name(), Math.max(Constants.Placement.RESERVATION_MS, fetchMs));
    }
}
