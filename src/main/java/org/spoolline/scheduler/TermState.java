package org.spoolline.scheduler;

import org.spoolline.reconcile.AttemptReconciler;
import org.spoolline.reconcile.TaskPhases;
import org.spoolline.reconcile.TerminationProof;

/**
 * What a leader derives and keeps in memory during one term, beside the tables of jobs and machines. Nothing of it is
 * stored: a new leader begins without it.
 *
 * @param notifier      machines with new orders
 * @param reservations  machines reserved for one job each
 * @param phases        phases of tasks by their last heartbeats
 * @param reconciler    attempts that are to be stopped
 * @param gangLaunches  order of launches within gangs
 * @param images        images that machines have cached
 * @param dirtyAttempts attempts to be reconciled in the next cycle
 * @param dependencies  dependencies between jobs
 */
record TermState(
        OrderNotifier notifier,
        Reservations reservations,
        TaskPhases phases,
        AttemptReconciler reconciler,
        GangLaunchOrder gangLaunches,
        ImageTracker images,
        DirtyAttempts dirtyAttempts,
        DependencyTracker dependencies) {

    /**
     * Creates the state of a node that does not lead.
     *
     * @param requestCycle runs when a cycle may have something new to decide
     */
    static TermState create(SchedulerContext context, CycleListener listener, Runnable requestCycle) {
        OrderNotifier notifier = new OrderNotifier(listener);
        Reservations reservations = new Reservations(context.loop(), context.jobs());
        TaskPhases phases = new TaskPhases(context.machines());
        ImageTracker images = new ImageTracker(context.catalog(), context.jobs());
        return new TermState(
                notifier,
                reservations,
                phases,
                new AttemptReconciler(
                        context.loop(),
                        context.settings(),
                        context.catalog(),
                        context.machines(),
                        reservations,
                        notifier),
                new GangLaunchOrder(context.jobs(), phases),
                images,
                new DirtyAttempts(context.jobs(), images),
                new DependencyTracker(context.loop(), context.store(), context.jobs(), requestCycle));
    }

    /** Begins a term: forgets everything of an earlier one. */
    void begin(long token, TerminationProof proof) {
        reconciler.beginTerm(proof);
        dependencies.begin(token);
        gangLaunches.clear();
        notifier.clear();
        reservations.clear();
        dirtyAttempts.clear();
    }

    /** Ends the term: reads in flight are ignored, and no attempt is to be stopped any longer. */
    void end() {
        dependencies.begin(Scheduler.NO_TERM);
        reconciler.endTerm();
    }

    /** Forgets a job that has reached a terminal state. */
    void forget(String jobId) {
        reconciler.forget(jobId);
        gangLaunches.forget(jobId);
        reservations.forget(jobId);
    }
}
