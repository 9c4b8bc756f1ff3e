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

/** The part of a scheduling cycle that steps each job by its dependencies and by what is proven about its attempts. */
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

    /** Begins a term: the first full reconciliation is due one interval from now. */
    void begin() {
        lastFullReconcileAt = loop.now();
    }

    /** Steps every live job. */
    CycleState stepAll() {
        boolean fullReconcile = startFullReconcileIfDue();
        CycleState state = new CycleState();
        for (JobEntry entry : jobs.entries()) {
            step(entry, fullReconcile, state);
        }
        return state;
    }

    /** The passing of time is a proof too (of lease expiry), and no heartbeat marks it: every attempt has its turn. */
    private boolean startFullReconcileIfDue() {
        boolean due = loop.now() - lastFullReconcileAt >= Constants.Cycle.FULL_RECONCILE_MS;
        if (due) {
            lastFullReconcileAt = loop.now();
        }
        return due;
    }

    private void step(JobEntry entry, boolean fullReconcile, CycleState state) {
        if (entry.inFlight()) {
            state.addJob(entry.proposed());
        } else if (entry.committed().hasUnsatisfiedDependencies() && !entry.cancelled()) {
            stepByDependencies(entry, state);
        } else {
            reconcile(entry, fullReconcile, state);
        }
    }

    private void stepByDependencies(JobEntry entry, CycleState state) {
        if (dependencies.verdictOf(entry.committed()) == DependencyTracker.Verdict.UNSATISFIED) {
            return;
        }
        Pipeline next = dependencies.step(entry.committed());
        state.addJob(next);
        state.addWrite(entry, next);
    }

    private void reconcile(JobEntry entry, boolean fullReconcile, CycleState state) {
        Pipeline committed = entry.committed();
        String jobId = committed.jobId();
        Collection<Attempt> due =
                fullReconcile || needsFullReconcile(entry) ? committed.attempts() : dirtyAttempts.get(jobId);
        boolean unaffected = due.isEmpty() && !committed.cancelled();
        Optional<Pipeline> next =
                unaffected ? Optional.empty() : reconciler.tryReconcile(committed, due, earlierDecisions(entry));
        state.addJob(next.orElse(committed));
        if (next.isPresent()) {
            counters.count(Event.ATTEMPT_RELEASED, jobs.release(entry, next.get(), due));
            state.addWrite(entry, next.get());
            dirtyAttempts.mark(jobId, due);
        } else {
            dirtyAttempts.unmark(jobId);
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

    /** A gang and a job with attempts to be stopped depend on more than the status of single attempts. */
    private boolean needsFullReconcile(JobEntry entry) {
        return entry.committed().spec().gang()
                || entry.cancelled()
                || reconciler.hasStopRequests(entry.committed().jobId());
    }
}
