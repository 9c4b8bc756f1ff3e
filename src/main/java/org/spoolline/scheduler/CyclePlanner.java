package org.spoolline.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;

/** Plans a scheduling cycle. Exception boundary: when the planner fails, the cycle continues with an empty plan. */
final class CyclePlanner {
    private static final Logger LOG = LoggerFactory.getLogger(CyclePlanner.class);
    private static final SchedulingPlan EMPTY_PLAN =
            new SchedulingPlan(Map.of(), List.of(), List.of(), Set.of(), Set.of());

    private final ClusterSnapshotBuilder snapshotBuilder;
    private final LaunchPreparer launchPreparer;
    private final MachineEvictions evictions;
    private final Counters counters;
    private boolean lastPlanFailed;

    CyclePlanner(
            ClusterSnapshotBuilder snapshotBuilder,
            LaunchPreparer launchPreparer,
            MachineEvictions evictions,
            Counters counters) {
        this.snapshotBuilder = snapshotBuilder;
        this.launchPreparer = launchPreparer;
        this.evictions = evictions;
        this.counters = counters;
    }

    /** Clears the state of the previous term. */
    void beginTerm() {
        lastPlanFailed = false;
    }

    /** True when the planner failed in the last cycle. */
    boolean lastPlanFailed() {
        return lastPlanFailed;
    }

    /**
     * Plans placements, preemptions and evacuations. Returns an empty plan when the planner fails, so that the cycle
     * still records the tasks that have ended.
     */
    SchedulingPlan plan(CycleState state) {
        try {
            ClusterSnapshot snapshot = snapshotBuilder.build(
                    state.jobsToPlan(),
                    launchPreparer.jobsWithFullValue(),
                    launchPreparer.gangsToPack(),
                    evictions.mayConsolidate());
            SchedulingPlan plan = PlacementPlanner.plan(snapshot);
            lastPlanFailed = false;
            return plan;
        } catch (RuntimeException e) {
            lastPlanFailed = true;
            counters.count(Event.PLAN_FAILED);
            LOG.error("Planning failed: jobs={}", state.jobsToPlan().size(), e);
            return EMPTY_PLAN;
        }
    }
}
