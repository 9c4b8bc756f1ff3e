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
 * Steps single jobs by what is proven about their attempts, and decides which attempts are to be stopped: those of broken
 * gangs, those on machines that are about to be interrupted or returned, and those that are preempted.
 *
 * <p>All methods are called on the event loop, between {@link #begin} and {@link #end}.
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
    /** When this leader first saw a cancelled job with unlisted attempts. */
    private final Map<String, Long> unlistedSince = new HashMap<>();

    /**
     * Creates a reconciler for one node, which may lead any number of terms.
     *
     * @param orders is notified of machines with attempts that are to be stopped
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

    /** Begins a term, with the rules by which termination is proven in it. */
    public void begin(TerminationProof proof) {
        end();
        terminationProof = proof;
    }

    /** Ends the term: forgets which attempts were to be stopped. */
    public void end() {
        stops.clear();
        unlistedSince.clear();
    }

    /** Forgets a job that has reached a terminal state. */
    public void forget(String jobId) {
        stops.withdraw(jobId);
        unlistedSince.remove(jobId);
    }

    /** True when some attempt of the job is to be stopped. */
    public boolean stopping(String jobId) {
        return stops.containsJob(jobId);
    }

    /** The grace in seconds with which an attempt is to be stopped; empty for one that is to continue. */
    public OptionalDouble graceOf(AttemptId attemptId) {
        return stops.graceOf(attemptId);
    }

    /** Requests that an attempt is stopped with this grace in seconds. */
    public void stop(AttemptId attemptId, double graceS) {
        stops.request(attemptId, graceS);
    }

    /**
     * Steps a job by what is proven about some of its attempts. Exception boundary: a job that can't be reconciled must
     * not stop the cycles for all others, so it is logged and left as it is.
     *
     * @param earlier what earlier cycles have decided about the job and its team
     * @return the job's next value; empty when nothing changes
     */
    public Optional<Pipeline> tryReconcile(Pipeline committed, Collection<Attempt> due, EarlierDecisions earlier) {
        try {
            return reconcile(committed, due, earlier);
        } catch (RuntimeException e) {
            LOG.error("Reconciliation failed: job={}", committed.jobId(), e);
            return Optional.empty();
        }
    }

    private Optional<Pipeline> reconcile(Pipeline committed, Collection<Attempt> due, EarlierDecisions earlier) {
        stops.withdraw(committed.jobId());
        reservations.requestStops(committed.jobId(), stops);
        DraftPipeline draft = new DraftPipeline(committed);
        reconcileAttempts(draft, due, earlier);
        Pipeline current = draft.current();
        if (current.spec().gang() && !current.succeeded() && !current.attempts().isEmpty()) {
            gangs.reconcile(draft, terminationProof);
        }
        if (draft.result().isEmpty() && unlistedAttemptsTerminated(committed)) {
            draft.forChange().clearUnlistedAttempts();
        }
        return draft.result();
    }

    private void reconcileAttempts(DraftPipeline draft, Collection<Attempt> due, EarlierDecisions earlier) {
        LostAttemptsLog lost = new LostAttemptsLog(draft.committed().jobId(), loop.now());
        for (Attempt attempt : due) {
            if (draft.committed().hasAttempt(attempt)) {
                reconcileAttempt(draft, attempt, earlier, lost);
            }
        }
        lost.write();
    }

    private void reconcileAttempt(
            DraftPipeline draft, Attempt attempt, EarlierDecisions earlier, LostAttemptsLog lost) {
        Pipeline committed = draft.committed();
        String jobId = committed.jobId();
        Machine machine = machines.get(attempt.machine());
        TerminationProof.Assessment assessment = terminationProof.assess(jobId, attempt, machine, loop.now());
        if (earlier.isReleased(attempt) && assessment.state() != TerminationProof.AttemptState.EXITED) {
            draft.forChange().retireAttempt(attempt);
            return;
        }
        boolean toStop = committed.cancelled()
                || stopForEviction(committed, attempt, machine)
                || stops.contains(AttemptId.of(jobId, attempt));
        switch (assessment.state()) {
            case ALIVE -> {
                if (committed.cancelled()) {
                    orders.ordersChanged(attempt.machine());
                }
            }
            case EXITED -> exits.apply(draft.forChange(), attempt, machine, assessment.status());
            case TERMINATED -> {
                draft.forChange().retireAttempt(attempt);
                lost.add(attempt, assessment.proof(), machine);
            }
            case ABSENT -> {
                if (toStop || earlier.teamExceedsQuota()) {
                    draft.forChange().retireAttempt(attempt);
                }
            }
            case UNKNOWN -> {}
        }
    }

    /**
     * True for a cancelled job without listed attempts, once no unlisted one can be left: cancel_s after its value was
     * stored, and so after it was first read here.
     */
    private boolean unlistedAttemptsTerminated(Pipeline job) {
        if (!job.cancelled() || !job.attempts().isEmpty()) {
            return false;
        }
        if (job.unlistedAttempts() == 0) {
            return true;
        }
        long since = unlistedSince.computeIfAbsent(job.jobId(), unseen -> loop.now());
        return loop.now() - since > settings.workers().cancelMs() * (1 + Constants.Time.DRIFT);
    }

    /**
     * Requests the stop of a task on a machine that the cloud is about to interrupt, or that is being evacuated. Only one
     * that can save a checkpoint, or has not started, gains by it.
     */
    private boolean stopForEviction(Pipeline job, Attempt attempt, Machine machine) {
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
        stop(attemptId, job.spec().stopGraceS());
        return true;
    }
}
