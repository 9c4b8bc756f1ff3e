package org.spoolline.scheduler;

import java.util.Collection;
import java.util.Optional;
import org.spoolline.config.Constants;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.job.TeamQuotas;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.reconcile.AttemptReconciler;
import org.spoolline.reconcile.EarlierDecisions;

/**
 * The phase of a scheduling cycle that computes the new value of each live job, from the state of its dependencies and
 * from what heartbeats and lease expiry show about its attempts.
 */
final class JobStepper {
    private final EventLoop loop;
    private final JobTable jobs;
    private final TeamQuotas quotas;
    private final DependencyTracker dependencies;
    private final AttemptReconciler reconciler;
    private final DirtyAttempts dirtyAttempts;
    private final Counters counters;
    private long lastFullReconcileAt;

    JobStepper(SchedulerContext context, TermState termState) {
        this.loop = context.loop();
        this.jobs = context.jobs();
        this.quotas = new TeamQuotas(context.settings(), jobs);
        this.counters = context.counters();
        this.dependencies = termState.dependencies();
        this.reconciler = termState.reconciler();
        this.dirtyAttempts = termState.dirtyAttempts();
    }

    /** Starts a term; its first full reconciliation is due after {@link Constants.Cycle#FULL_RECONCILE_MS}. */
    void beginTerm() {
        lastFullReconcileAt = loop.now();
    }

    /** Computes the new value of each live job; returns the jobs to plan for and the values to write. */
    CycleState stepJobs() {
        boolean fullReconcile = startFullReconcileIfDue();
        CycleState state = new CycleState();
        for (JobEntry entry : jobs.entries()) {
            stepJob(entry, fullReconcile, state);
        }
        return state;
    }

    /**
     * Returns true, and restarts the interval, when this cycle has to reconcile all attempts. Lease expiry also shows
     * that an attempt has ended, but no heartbeat marks such an attempt as dirty.
     */
    private boolean startFullReconcileIfDue() {
        boolean due = loop.now() - lastFullReconcileAt >= Constants.Cycle.FULL_RECONCILE_MS;
        if (due) {
            lastFullReconcileAt = loop.now();
        }
        return due;
    }

    private void stepJob(JobEntry entry, boolean fullReconcile, CycleState state) {
        if (entry.inFlight()) {
            state.addJob(entry.proposed());
        } else if (entry.committed().hasUnsatisfiedDependencies() && !entry.cancelled()) {
            stepByDependencies(entry, state);
        } else {
            reconcile(entry, fullReconcile, state);
        }
    }

    private void stepByDependencies(JobEntry entry, CycleState state) {
        if (dependencies.statusOf(entry.committed()) == DependencyTracker.Status.UNSATISFIED) {
            return;
        }
        Pipeline proposed = dependencies.applyStatus(entry.committed());
        state.addJob(proposed);
        state.addWrite(entry, proposed);
    }

    private void reconcile(JobEntry entry, boolean fullReconcile, CycleState state) {
        Pipeline committed = entry.committed();
        String jobId = committed.jobId();
        Collection<Attempt> attemptsToReconcile =
                fullReconcile || needsFullReconcile(entry) ? committed.attempts() : dirtyAttempts.attemptsOf(jobId);
        boolean nothingToReconcile = attemptsToReconcile.isEmpty() && !committed.cancelled();
        Optional<Pipeline> proposed = nothingToReconcile
                ? Optional.empty()
                : reconciler.tryReconcile(committed, attemptsToReconcile, earlierDecisions(entry));
        state.addJob(proposed.orElse(committed));
        if (proposed.isPresent()) {
            counters.count(Event.ATTEMPT_RELEASED, jobs.release(entry, proposed.get(), attemptsToReconcile));
            state.addWrite(entry, proposed.get());
            dirtyAttempts.markDirty(jobId, attemptsToReconcile);
        } else {
            dirtyAttempts.markClean(jobId);
        }
    }

    private EarlierDecisions earlierDecisions(JobEntry entry) {
        return new EarlierDecisions() {
            @Override
            public boolean isReleased(Attempt attempt) {
                return entry.isReleased(attempt);
            }

            @Override
            public boolean teamExceedsQuota() {
                return quotas.exceeded(entry.committed().spec().team());
            }
        };
    }

    /**
     * True when all attempts of the job have to be reconciled together: for gangs, cancelled jobs and jobs with
     * attempts to stop, the new value does not depend on the dirty attempts alone.
     */
    private boolean needsFullReconcile(JobEntry entry) {
        return entry.committed().spec().gang()
                || entry.cancelled()
                || reconciler.hasStopRequests(entry.committed().jobId());
    }
}
