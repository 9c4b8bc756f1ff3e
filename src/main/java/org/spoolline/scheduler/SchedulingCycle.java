package org.spoolline.scheduler;

import org.spoolline.autoscaler.Autoscaler;

/**
 * One scheduling cycle: takes everything that has become known since the last one, steps the jobs, places what is ready
 * and writes every changed value once.
 */
final class SchedulingCycle {
    private final TermState termState;
    private final JobStepper stepper;
    private final CyclePlanner planner;
    private final MachineEvictions evictions;
    private final LaunchPreparer launchPreparer;
    private final PipelineWriter writer;
    private final CapacityScaler capacityScaler;
    private final QuotaAudit quotaAudit;
    private int lastWriteCount;

    SchedulingCycle(SchedulerContext context, TermState termState, PipelineWriter writer, Autoscaler autoscaler) {
        this.termState = termState;
        this.stepper = new JobStepper(context, termState);
        this.evictions = new MachineEvictions(context.loop(), context.machines(), termState);
        this.launchPreparer = new LaunchPreparer(context, termState.gangLaunches(), termState.images());
        this.planner = new CyclePlanner(
                new ClusterSnapshotBuilder(context, termState), launchPreparer, evictions, context.counters());
        this.writer = writer;
        this.capacityScaler = new CapacityScaler(context.loop(), context.jobs(), termState.reservations(), autoscaler);
        this.quotaAudit = new QuotaAudit(context);
    }

    /** Begins a term. */
    void beginTerm() {
        launchPreparer.clear();
        stepper.beginTerm();
        evictions.beginTerm();
        planner.beginTerm();
    }

    /** True when the last cycle could not make a plan. */
    boolean lastPlanFailed() {
        return planner.lastPlanFailed();
    }

    /** Number of values that the last cycle had to write. */
    int lastWriteCount() {
        return lastWriteCount;
    }

    /** Runs all phases in order. */
    void run() {
        termState.reservations().expire();
        termState.dirtyAttempts().markOnChangedMachines();
        termState.dependencies().refresh();
        CycleState state = stepper.stepJobs();
        SchedulingPlan plan = planner.plan(state);
        evictions.startEvictions(plan);
        launchPreparer.prepare(plan.placements(), state);
        boolean allWritesSent = sendWrites(state);
        capacityScaler.scale(plan, state);
        notifyOfOrders(allWritesSent);
        quotaAudit.runIfDue();
    }

    private boolean sendWrites(CycleState state) {
        lastWriteCount = state.pendingWrites().size();
        return writer.write(state.pendingWrites());
    }

    /** Responses whose launches wait for the write budget stay held: the next regular heartbeat is seconds away. */
    private void notifyOfOrders(boolean allWritesSent) {
        if (allWritesSent && writer.isIdle()) {
            termState.notifier().notifyOrdersComplete();
        } else {
            termState.notifier().notifyOrdersChanged();
        }
    }
}
