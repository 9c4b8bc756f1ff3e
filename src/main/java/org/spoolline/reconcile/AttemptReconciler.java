package org.spoolline.reconcile;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * Updates single jobs by what is proven about their attempts, and determines which attempts are to be stopped: members
 * of gangs that have lost a member, attempts on machines that the cloud is about to reclaim or that are evacuated, and
 * preempted attempts.
 *
 * <p>All methods are called on the event loop, between {@link #beginTerm} and {@link #endTerm}.
 */
public final class AttemptReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptReconciler.class);

    private final EventLoop loop;
    private final Settings settings;
    private final MachineRegistry machines;
    private final MachineReservations reservations;
    private final OrderListener orders;
    private final StopRequests stops = new StopRequests();
    private final TaskExitHandler exits;
    private final GangReconciler gangs;

    private TerminationProof terminationProof;
    /**
     * When this leader first observed the cancelled value of a job with unlisted attempts, in ms of the event loop's
     * clock, by job id.
     */
    private final Map<String, Long> unlistedObservedAt = new HashMap<>();

    /**
     * Creates a reconciler for one node. The node may become leader any number of times.
     *
     * @param orders is notified of the machines whose attempts are to be stopped
     */
    public AttemptReconciler(
            EventLoop loop,
            Settings settings,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            MachineReservations reservations,
            OrderListener orders) {
        this.loop = loop;
        this.settings = settings;
        this.machines = machines;
        this.reservations = reservations;
        this.orders = orders;
        this.exits = new TaskExitHandler(loop, catalog, reservations);
        this.gangs = new GangReconciler(loop, machines, new TaskPhases(machines), stops, orders);
    }

    /** Starts a term and discards the state of the previous one. The proof is used for all attempts of the term. */
    public void beginTerm(TerminationProof proof) {
        endTerm();
        terminationProof = proof;
    }

    /** Ends the term and discards all stop requests. */
    public void endTerm() {
        stops.clear();
        unlistedObservedAt.clear();
    }

    /** Discards the state of a job that has reached a terminal state. */
    public void removeJob(String jobId) {
        stops.removeJob(jobId);
        unlistedObservedAt.remove(jobId);
    }

    /** True when a stop is requested for at least one attempt of the job. */
    public boolean hasStopRequests(String jobId) {
        return stops.containsJob(jobId);
    }

    /** The grace period in seconds of the attempt's stop request; empty when no stop is requested. */
    public OptionalDouble stopGraceS(AttemptId attemptId) {
        return stops.stopGraceS(attemptId);
    }

    /** Requests the stop of an attempt with this grace period in seconds; replaces an earlier request. */
    public void requestStop(AttemptId attemptId, double graceS) {
        stops.request(attemptId, graceS);
    }

    /**
     * Computes a job's next value from what is proven about the given attempts. Exception boundary: if a job can't be
     * reconciled, the error is logged and the job stays unchanged, so that the scheduling cycle continues for all
     * other jobs.
     *
     * @param attempts the attempts to assess; those that are not committed are ignored
     * @param earlierDecisions what earlier cycles have decided about the job and its team
     * @return the job's next value; empty when nothing changes or reconciliation fails
     */
    public Optional<Pipeline> tryReconcile(
            Pipeline committed, Collection<Attempt> attempts, EarlierDecisions earlierDecisions) {
        try {
            return reconcile(committed, attempts, earlierDecisions);
        } catch (RuntimeException e) {
            LOG.error("Reconciliation failed: job={}", committed.jobId(), e);
            return Optional.empty();
        }
    }

    private Optional<Pipeline> reconcile(
            Pipeline committed, Collection<Attempt> attempts, EarlierDecisions earlierDecisions) {
        stops.removeJob(committed.jobId());
        reservations.requestStops(committed.jobId(), stops);
        DraftPipeline draft = new DraftPipeline(committed);
        reconcileAttempts(draft, attempts, earlierDecisions);
        Pipeline current = draft.current();
        if (current.spec().gang() && !current.succeeded() && !current.attempts().isEmpty()) {
            gangs.reconcile(draft, terminationProof);
        }
        if (draft.changedValue().isEmpty() && unlistedAttemptsTerminated(committed)) {
            draft.mutableCopy().clearUnlistedAttempts();
        }
        return draft.changedValue();
    }

    private void reconcileAttempts(
            DraftPipeline draft, Collection<Attempt> attempts, EarlierDecisions earlierDecisions) {
        LostAttemptsLog lost = new LostAttemptsLog(draft.committed().jobId(), loop.now());
        for (Attempt attempt : attempts) {
            if (draft.committed().hasAttempt(attempt)) {
                reconcileAttempt(draft, attempt, earlierDecisions, lost);
            }
        }
        lost.logSummaries();
    }

    private void reconcileAttempt(
            DraftPipeline draft, Attempt attempt, EarlierDecisions earlierDecisions, LostAttemptsLog lost) {
        Pipeline committed = draft.committed();
        String jobId = committed.jobId();
        Machine machine = machines.get(attempt.machine());
        TerminationProof.Assessment assessment = terminationProof.assess(jobId, attempt, machine, loop.now());
        if (earlierDecisions.isReleased(attempt) && assessment.state() != TerminationProof.AttemptState.EXITED) {
            draft.mutableCopy().retireAttempt(attempt);
            return;
        }
        boolean stopRequested = committed.cancelled()
                || requestStopForEviction(committed, attempt, machine)
                || stops.contains(AttemptId.of(jobId, attempt));
        switch (assessment.state()) {
            case ALIVE -> {
                if (committed.cancelled()) {
                    orders.ordersChanged(attempt.machine());
                }
            }
            case EXITED -> exits.apply(draft.mutableCopy(), attempt, machine, assessment.status());
            case TERMINATED -> {
                draft.mutableCopy().retireAttempt(attempt);
                lost.add(attempt, assessment.proof(), machine);
            }
            case ABSENT -> {
                if (stopRequested || earlierDecisions.teamExceedsQuota()) {
                    draft.mutableCopy().retireAttempt(attempt);
                }
            }
            case UNKNOWN -> {}
        }
    }

    /**
     * True for a cancelled job without listed attempts once no unlisted attempt can still be on a machine. That is so
     * cancel_s after the cancelled value was stored. The time is counted from when this leader first observed the
     * value, which can't be before it was stored, and includes a margin for clock drift.
     */
    private boolean unlistedAttemptsTerminated(Pipeline job) {
        if (!job.cancelled() || !job.attempts().isEmpty()) {
            return false;
        }
        if (job.unlistedAttempts() == 0) {
            return true;
        }
        long observedAt = unlistedObservedAt.computeIfAbsent(job.jobId(), key -> loop.now());
        return loop.now() - observedAt > settings.workers().cancelMs() * (1 + Constants.Time.DRIFT);
    }

    /**
     * Requests the stop of an attempt if the cloud is about to reclaim its machine or the machine is being evacuated.
     * An attempt that has started and can't save a checkpoint is left running, since an early stop would only lose its
     * progress.
     *
     * @return true when the stop was requested
     */
    private boolean requestStopForEviction(Pipeline job, Attempt attempt, Machine machine) {
        if (machine == null || !machine.hasInterruptionNotice() && !machine.evacuating()) {
            return false;
        }
        AttemptId attemptId = AttemptId.of(job.jobId(), attempt);
        TaskStatus status = machine.tasks().get(attemptId);
        boolean started = status != null && status.phase() != TaskStatus.Phase.FETCHING_IMAGE;
        if (started && !job.spec().checkpoints()) {
            return false;
        }
        orders.ordersChanged(attempt.machine());
        requestStop(attemptId, job.spec().stopGraceS());
        return true;
    }
}
