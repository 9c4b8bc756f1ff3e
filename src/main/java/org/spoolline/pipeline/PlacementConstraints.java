package org.spoolline.pipeline;

import java.util.Set;

/**
 * Where the tasks of a job may run.
 *
 * @param machineTypes      names of the only machine types allowed, in the user's order, or null where any is
 * @param zone              the only zone allowed, or null where any is
 * @param singleZone        true when all tasks must run in one zone
 * @param spreadAcrossZones true when at most half of the tasks, rounded up, may run in one zone
 * @param allowsSpot        true when spot machines may be used
 */
public record PlacementConstraints(
        Set<String> machineTypes, String zone, boolean singleZone, boolean spreadAcrossZones, boolean allowsSpot) {}
