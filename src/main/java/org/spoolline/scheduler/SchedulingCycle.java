package org.spoolline.scheduler;

/**
 * One scheduling cycle: takes everything that has become known since the last one, steps the jobs, places what is ready
 * and writes every changed value once.
 */
final class SchedulingCycle {
    private final Reservations reservations;
    private final DirtyAttempts dirtyAttempts;
    private final DependencyTracker dependencies;
    private final JobStepper stepper;
    private final CyclePlanner planner;
    private final MachineEvictions evictions;
    private final LaunchPreparer launches;
    private final PipelineWriter writer;
    private final CapacityScaler scaler;
    private final OrderNotifier notifier;
    private int lastWriteCount;

    SchedulingCycle(
            Reservations reservations,
            DirtyAttempts dirtyAttempts,
            DependencyTracker dependencies,
            JobStepper stepper,
            CyclePlanner planner,
            MachineEvictions evictions,
            LaunchPreparer launches,
            PipelineWriter writer,
            CapacityScaler scaler,
            OrderNotifier notifier) {
        this.reservations = reservations;
        this.dirtyAttempts = dirtyAttempts;
        this.dependencies = dependencies;
        this.stepper = stepper;
        this.planner = planner;
        this.evictions = evictions;
        this.launches = launches;
        this.writer = writer;
        this.scaler = scaler;
        this.notifier = notifier;
    }

    /** Number of values that the last cycle had to write. */
    int lastWriteCount() {
        return lastWriteCount;
    }

    /** Runs all phases in order. */
    void decide() {
        reservations.expire();
        dirtyAttempts.collect();
        dependencies.refresh();
        CycleState state = stepper.stepAll();
        SchedulingPlan plan = planner.plan(state);
        evictions.start(plan);
        launches.prepare(plan.placements(), state);
        boolean allSent = write(state);
        scaler.scale(plan, state);
        notifyOfOrders(allSent);
    }

    private boolean write(CycleState state) {
        lastWriteCount = state.pendingWrites().size();
        return writer.write(state.pendingWrites());
    }

    /** Responses whose launches wait for the write budget stay held: the next regular heartbeat is seconds away. */
    private void notifyOfOrders(boolean allSent) {
        if (allSent && writer.idle()) {
            notifier.notifyOrdersComplete();
        } else {
            notifier.notifyOrdersChanged();
        }
    }
}
