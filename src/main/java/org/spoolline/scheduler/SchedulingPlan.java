package org.spoolline.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.cluster.ResourceDemand;

/**
 * The outcome of one planning pass.
 *
 * @param placements   tasks to launch, by job id, in the order in which the jobs were planned
 * @param demands      tasks without capacity, most urgent first
 * @param preemptions  machines to be cleared for jobs among the demands
 * @param accumulatingMachines names of the machines kept from other jobs so that capacity for a starving gang accumulates
 * @param machinesToEvacuate    names of the machines to be emptied because their tasks fit on other machines
 */
record SchedulingPlan(
        Map<String, List<Placement>> placements,
        List<ResourceDemand> demands,
        List<Preemption> preemptions,
        Set<String> accumulatingMachines,
        Set<String> machinesToEvacuate) {

    /** A plan that changes nothing. */
    static SchedulingPlan empty() {
        return new SchedulingPlan(Map.of(), List.of(), List.of(), Set.of(), Set.of());
    }
}
