package org.spoolline.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.ResourceDemand;

/**
 * Result of planning one scheduling cycle.
 *
 * @param placements           placed tasks by job id, in the order in which the jobs were planned
 * @param demands              tasks that found no capacity, most urgent first
 * @param preemptions          evictions that free machines for jobs among the demands
 * @param accumulatingMachines names of the machines withheld from other jobs to accumulate capacity for a starving gang
 * @param machinesToEvacuate   names of the machines to evacuate because their tasks fit on other machines
 */
record SchedulingPlan(
        Map<String, List<Placement>> placements,
        List<ResourceDemand> demands,
        List<Preemption> preemptions,
        Set<String> accumulatingMachines,
        Set<String> machinesToEvacuate) {

    /** Returns a plan without any placement, demand or eviction. */
    static SchedulingPlan empty() {
        return new SchedulingPlan(Map.of(), List.of(), List.of(), Set.of(), Set.of());
    }
}
