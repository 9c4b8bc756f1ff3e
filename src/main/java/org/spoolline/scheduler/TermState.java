package org.spoolline.scheduler;

import org.spoolline.reconcile.AttemptReconciler;
import org.spoolline.reconcile.TaskPhases;
import org.spoolline.reconcile.TerminationProof;

/**
 * In-memory state that a leader derives during its term, in addition to the tables of jobs and machines. It is not
 * stored: a new leader starts with empty state.
 *
 * @param notifier      collects the machines that have new orders
 * @param reservations  machines that accept tasks of a single job only
 * @param phases        task phases that the last heartbeats reported
 * @param reconciler    reconciles attempts and knows which ones to stop
 * @param gangLaunches  launch order of the tasks within each gang
 * @param images        estimate of the images that each machine has cached
 * @param dirtyAttempts attempts that the next cycle has to reconcile
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
     * Creates the state of a node that is not the leader.
     *
     * @param requestCycle requests a scheduling cycle after a change
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

    /**
     * Starts a term with empty state.
     *
     * @param token fencing token of the term
     * @param proof rules by which the leader infers in this term that an attempt has ended
     */
    void beginTerm(long token, TerminationProof proof) {
        reconciler.beginTerm(proof);
        dependencies.beginTerm(token);
        gangLaunches.clear();
        notifier.clear();
        reservations.clear();
        dirtyAttempts.clear();
    }

    /** Ends the term: ignores the responses to reads in flight and clears the list of attempts to stop. */
    void endTerm() {
        dependencies.beginTerm(Scheduler.NO_TERM);
        reconciler.endTerm();
    }

    /** Removes the state of a job that has reached a terminal state. */
    void removeJob(String jobId) {
        reconciler.removeJob(jobId);
        gangLaunches.removeJob(jobId);
        reservations.removeJob(jobId);
    }
}
