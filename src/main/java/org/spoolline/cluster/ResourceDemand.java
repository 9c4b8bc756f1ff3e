package org.spoolline.cluster;

import org.spoolline.pipeline.Pipeline;

/**
 * Tasks of a job that no machine has capacity for, limited to what the job's team may run.
 *
 * @param tasks           how many tasks
 * @param withinFairShare whether the job fits its team's guaranteed share
 */
public record ResourceDemand(Pipeline job, int tasks, boolean withinFairShare) {}
