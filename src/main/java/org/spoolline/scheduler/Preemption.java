package org.spoolline.scheduler;

import java.util.Map;
import java.util.Set;
import org.spoolline.pipeline.AttemptId;

/**
 * Machines that are cleared for a job by stopping attempts on them.
 *
 * @param machines         names of the machines to reserve for the job
 * @param evicted          attempts to stop, each with its grace period in seconds
 * @param forImageLocality true when the machines are cleared because they have the job's image, although other
 *                         machines have free capacity
 */
record Preemption(String jobId, Set<String> machines, Map<AttemptId, Double> evicted, boolean forImageLocality) {}
