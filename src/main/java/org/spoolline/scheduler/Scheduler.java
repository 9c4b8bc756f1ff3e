package org.spoolline.scheduler;

import java.util.OptionalDouble;
import org.spoolline.autoscaler.Autoscaler;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.job.JobWatcher;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.reconcile.DesiredState;
import org.spoolline.reconcile.TerminationProof;

/**
 * Runs the leader's scheduling cycles from its election to the end of its term. Each cycle processes all changes since
 * the previous cycle. The interval between cycles grows with the number of values that the last cycle had to write.
 *
 * <p>All methods are called on the event loop.
 */
public final class Scheduler implements DesiredState {
    /** Value of {@link #term} while this node is not the leader. */
    static final long NO_TERM = 0;

    private final EventLoop loop;
    private final Settings settings;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final Counters counters;
    private final StallMonitor stallMonitor;

    private final TermState termState;
    private final JobWatcher jobWatcher;
    private final PipelineWriter writer;
    private final SchedulingCycle cycle;
    private final CyclePacer pacer;
    private final StallInspector stallInspector;

    /** Fencing token of the current term. */
    private long term = NO_TERM;

    private long lastCycleAt;
    private boolean lastCycleFailed;

    /**
     * Creates a scheduler, which runs no cycle until {@link #elected} is called.
     *
     * @param autoscaler scales machines by the demand that the plan could not place
     * @param listener   is notified when the jobs are loaded and when machines have new orders
     */
    public Scheduler(SchedulerContext context, Autoscaler autoscaler, CycleListener listener) {
        loop = context.loop();
        settings = context.settings();
        election = context.election();
        staleness = context.staleness();
        machines = context.machines();
        jobs = context.jobs();
        counters = context.counters();
        stallMonitor = context.stallMonitor();
        termState = TermState.create(context, listener, this::requestCycle);
        jobWatcher = new JobWatcher(
                loop, context.store(), staleness, jobs, listener::jobsLoaded, this::requestCycle, counters);
        CommitListener commitListener = new CommitListener(jobs, termState, this::requestCycle);
        writer = new PipelineWriter(loop, context.store(), election, jobs, commitListener, counters);
        cycle = new SchedulingCycle(context, termState, writer, autoscaler);
        pacer = new CyclePacer(loop, settings, this::runCycle);
        stallInspector = new StallInspector(election, context.catalog(), jobs, jobWatcher, writer);
    }

    /**
     * Starts a term after this node was elected: clears the state of the previous term and starts to read the live
     * jobs. The election has already fenced off writes of former leaders.
     *
     * @param token fencing token of the new term
     */
    public void elected(long token) {
        term = token;
        // A former leader may have renewed workers' leases until its keep-alive time ended, so this leader can infer
        // termination from lease expiry only one full lease after that.
        TerminationProof proof = new TerminationProof(
                election.workerFencingToken(), loop.now() + settings.keepAliveMs(), settings.leaseExpiryMs());
        termState.beginTerm(token, proof);
        staleness.reset();
        writer.beginTerm(token);
        jobs.clear();
        machines.clear();
        cycle.beginTerm();
        pacer.beginTerm();
        lastCycleFailed = false;
        stallMonitor.beginTerm();
        jobWatcher.beginTerm(token);
        tick(token);
    }

    /** Ends the term: the scheduler sends no further writes or reads and ignores responses still in flight. */
    public void steppedDown() {
        term = NO_TERM;
        writer.beginTerm(NO_TERM);
        termState.endTerm();
        jobWatcher.beginTerm(NO_TERM);
        jobs.clear();
    }

    /**
     * Requests a cycle when none has run for {@link Constants.Cycle#CYCLE_IDLE_MS}, because lease expiry and other
     * timeouts change the state of attempts without any event.
     */
    private void tick(long startTerm) {
        if (term != startTerm) {
            return;
        }
        if (loop.now() - lastCycleAt >= Constants.Cycle.CYCLE_IDLE_MS) {
            requestCycle();
        }
        stallMonitor.check(() -> stallInspector.inspect(
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()),
                lastCycleFailed,
                cycle.lastPlanFailed()));
        loop.after(Constants.Cycle.CYCLE_IDLE_MS, () -> tick(startTerm));
    }

    /**
     * Requests a cycle after a change, or does nothing while this node is not the leader. The delay grows with the
     * number of values that the last cycle had to write.
     */
    public void requestCycle() {
        if (term != NO_TERM) {
            pacer.request(cycle.lastWriteCount());
        }
    }

    /** Records that a heartbeat reported a change on the machine, and requests a cycle. */
    public void machineChanged(Machine machine) {
        if (term != NO_TERM) {
            termState.dirtyAttempts().machineChanged(machine);
            requestCycle();
        }
    }

    @Override
    public OptionalDouble stopGraceS(AttemptId attemptId) {
        return termState.reconciler().stopGraceS(attemptId);
    }

    @Override
    public boolean mayLaunch(AttemptId attemptId) {
        return termState.gangLaunches().mayLaunch(attemptId);
    }

    private void runCycle() {
        if (!jobWatcher.loaded()) {
            counters.count(Event.CYCLE_SKIPPED_JOBS_UNREAD);
            return;
        }
        if (!election.hasValidLease()) {
            counters.count(Event.CYCLE_SKIPPED_LEASE_EXPIRED);
            return;
        }
        lastCycleAt = loop.now();
        lastCycleFailed = true;
        try {
            cycle.run();
            lastCycleFailed = false;
        } finally {
            counters.count(lastCycleFailed ? Event.CYCLE_FAILED : Event.CYCLE_COMPLETED);
        }
    }
}
