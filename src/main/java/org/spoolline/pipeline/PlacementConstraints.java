package org.spoolline.pipeline;

import java.util.Set;

/**
 * Constraints on the machines that may run a job's tasks.
 *
 * @param machineTypes      names of the allowed machine types, in the user's order, or null if all are allowed
 * @param zone              the only allowed zone, or null if all are allowed
 * @param singleZone        true if all tasks must run in the same zone
 * @param spreadAcrossZones true if at most half of the tasks, rounded up, may run in one zone
 * @param allowsSpot        true if tasks may run on spot machines
 */
public record PlacementConstraints(
        Set<String> machineTypes, String zone, boolean singleZone, boolean spreadAcrossZones, boolean allowsSpot) {}
