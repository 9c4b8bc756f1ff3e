package org.spoolline.cluster;

import org.spoolline.pipeline.Pipeline;

/**
 * Tasks of a job that its team's limits allow but for which no machine has capacity.
 *
 * @param tasks           number of tasks
 * @param withinFairShare true when the job is within its team's guaranteed share
 */
public record ResourceDemand(Pipeline job, int tasks, boolean withinFairShare) {}
