package org.spoolline.scheduler;

import java.util.Map;
import java.util.Set;
import org.spoolline.pipeline.AttemptId;

/**
 * Machines to be cleared for a job by stopping the attempts that run there.
 *
 * @param machines         names of the machines that are reserved for the job
 * @param evicted          attempts to stop, each with its grace period in seconds
 * @param forImageLocality true when the machines were chosen because they hold the job's image, although others have
 *                         free capacity
 */
record Preemption(String jobId, Set<String> machines, Map<AttemptId, Double> evicted, boolean forImageLocality) {}
