package org.spoolline.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;

/** Makes the plan of a scheduling cycle. Exception boundary: a failure of the planner results in an empty plan. */
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

    /** Begins a term. */
    void beginTerm() {
        lastPlanFailed = false;
    }

    /** True when the last plan failed. */
    boolean lastPlanFailed() {
        return lastPlanFailed;
    }

    /** Plans placements, preemptions and evacuations; tasks that have ended are written even when planning fails. */
    SchedulingPlan plan(CycleState state) {
        try {
            ClusterSnapshot snapshot = snapshotBuilder.build(
                    state.jobsToPlan(), launchPreparer.jobsWithFullValue(), evictions.mayConsolidate());
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
