package org.spoolline.scheduler;

import org.spoolline.autoscaler.Autoscaler;

/**
 * One scheduling cycle: processes the changes since the previous cycle, reconciles the jobs, places the tasks that are
 * ready to run and writes each changed job once.
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

    /** Clears the state of the previous term. */
    void beginTerm() {
        launchPreparer.clear();
        stepper.beginTerm();
        evictions.beginTerm();
        planner.beginTerm();
    }

    /** True when the planner failed in the last cycle, which then placed no task. */
    boolean lastPlanFailed() {
        return planner.lastPlanFailed();
    }

    /** Number of values that the last cycle had to write, including those that it deferred. */
    int lastWriteCount() {
        return lastWriteCount;
    }

    /** Runs the phases of one cycle in order. */
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

    /**
     * Reports that the orders are complete only when no write is deferred or in flight. Otherwise a held heartbeat
     * response would be sent before the launch it waits for is stored, and the machine would receive that launch
     * only with its next regular heartbeat, seconds later.
     */
    private void notifyOfOrders(boolean allWritesSent) {
        if (allWritesSent && writer.isIdle()) {
            termState.notifier().notifyOrdersComplete();
        } else {
            termState.notifier().notifyOrdersChanged();
        }
    }
}
