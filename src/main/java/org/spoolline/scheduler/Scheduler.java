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
 * Runs the leader's scheduling cycles from the election to the end of the term. Each cycle takes everything that has
 * become known since the last one; cycles widen with the number of values that they change.
 *
 * <p>All methods are called on the event loop.
 */
public final class Scheduler implements DesiredState {
    /** What {@link #term} holds while this node does not lead. */
    static final long NO_TERM = 0;

    private final EventLoop loop;
    private final Settings settings;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final Counters counters;
    private final StallMonitor stalls;

    private final TermState termState;
    private final JobWatcher jobWatcher;
    private final PipelineWriter writer;
    private final SchedulingCycle cycle;
    private final CyclePacer pacer;
    private final StallInspector inspector;

    private long term = NO_TERM;
    private long lastCycleAt;
    private boolean lastCycleFailed;

    /**
     * Creates a scheduler that does nothing before {@link #elected}.
     *
     * @param autoscaler receives the demand that no machine can serve
     * @param listener   is notified of new orders
     */
    public Scheduler(SchedulerContext context, Autoscaler autoscaler, CycleListener listener) {
        loop = context.loop();
        settings = context.settings();
        election = context.election();
        staleness = context.staleness();
        machines = context.machines();
        jobs = context.jobs();
        counters = context.counters();
        stalls = context.stalls();
        termState = TermState.create(context, listener, this::requestCycle);
        jobWatcher = new JobWatcher(
                loop, context.store(), staleness, jobs, listener::jobsLoaded, this::requestCycle, counters);
        CommitListener commitListener = new CommitListener(jobs, termState, this::requestCycle);
        writer = new PipelineWriter(loop, context.store(), election, jobs, commitListener, counters);
        cycle = new SchedulingCycle(context, termState, writer, autoscaler);
        pacer = new CyclePacer(loop, settings, this::runCycle);
        inspector = new StallInspector(election, context.catalog(), jobs, jobWatcher, writer);
    }

    /** Begins a term: forgets the state of any earlier one and reads the live jobs, which the election has fenced. */
    public void elected(long token) {
        term = token;
        // A former leader may have kept leases alive until its keep-alive time had run out.
        TerminationProof proof = new TerminationProof(
                election.workerFencingToken(), loop.now() + settings.keepAliveMs(), settings.leaseExpiryMs());
        termState.begin(token, proof);
        staleness.reset();
        writer.begin(token);
        jobs.clear();
        machines.clear();
        cycle.begin();
        pacer.begin();
        lastCycleFailed = false;
        stalls.beginTerm();
        jobWatcher.beginTerm(token);
        tick(token);
    }

    /** Ends the term: nothing is written or read any longer. */
    public void steppedDown() {
        term = NO_TERM;
        writer.begin(NO_TERM);
        termState.end();
        jobWatcher.beginTerm(NO_TERM);
        jobs.clear();
    }

    /** Time alone can change what is proven, so a cycle runs at least once in a fixed time. */
    private void tick(long tickTerm) {
        if (term != tickTerm) {
            return;
        }
        if (loop.now() - lastCycleAt >= Constants.Cycle.CYCLE_IDLE_MS) {
            requestCycle();
        }
        stalls.check(() -> inspector.inspect(
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()),
                lastCycleFailed,
                cycle.lastPlanFailed()));
        loop.after(Constants.Cycle.CYCLE_IDLE_MS, () -> tick(tickTerm));
    }

    /** Requests a cycle after a change; it runs soon, the later the more the last one had to write. */
    public void requestCycle() {
        if (term != NO_TERM) {
            pacer.request(cycle.lastWriteCount());
        }
    }

    /** Records that a heartbeat of the machine has shown a change. */
    public void machineChanged(Machine machine) {
        if (term != NO_TERM) {
            termState.dirtyAttempts().machineChanged(machine);
            requestCycle();
        }
    }

    @Override
    public OptionalDouble graceOf(AttemptId attemptId) {
        return termState.reconciler().graceOf(attemptId);
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
            cycle.decide();
            lastCycleFailed = false;
        } finally {
            counters.count(lastCycleFailed ? Event.CYCLE_FAILED : Event.CYCLE_COMPLETED);
        }
    }
}
