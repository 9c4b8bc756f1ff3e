package org.spoolline.cluster;

import java.util.List;
import org.spoolline.pipeline.Submission;

/**
 * A machine type offered by the cloud.
 *
 * @param memoryGb    memory in GB
 * @param cacheGb     size of the image cache in GB
 * @param fetchGbPerS image fetch rate in GB per second
 * @param price       price of an on-demand machine per hour
 * @param spotPrice   price of a spot machine per hour
 * @param bootS       nominal boot time in seconds
 * @param zones       zones that offer the type
 */
public record MachineType(
        String name,
        double cores,
        double accelerators,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {
    /** A quotient less than this below an integer is rounded up to it, to compensate for floating-point errors. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** True when one task of the job fits an empty machine of this type and the job's constraints allow the type. */
    public boolean canRun(Submission job) {
        return (job.machineTypes() == null || job.machineTypes().contains(name))
                && job.cores() <= cores
                && job.accelerators() <= accelerators
                && job.memoryGb() <= memoryGb
                && (job.zone() == null || zones.contains(job.zone()));
    }

    /** The number of the job's tasks that fit an empty machine of this type. */
    public int tasksPerMachine(Submission job) {
        return countTasks(job, cores, accelerators, memoryGb);
    }

    /** The number of the job's tasks that fit these amounts. */
    static int countTasks(Submission job, double cores, double accelerators, double memoryGb) {
        double count = Math.floor(cores / job.cores() + ROUNDING_TOLERANCE);
        if (job.accelerators() > 0) {
            count = Math.min(count, Math.floor(accelerators / job.accelerators() + ROUNDING_TOLERANCE));
        }
        if (job.memoryGb() > 0) {
            count = Math.min(count, Math.floor(memoryGb / job.memoryGb() + ROUNDING_TOLERANCE));
        }
        return (int) count;
    }
}
