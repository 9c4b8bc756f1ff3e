package org.spoolline.cluster;

import java.util.List;
import org.spoolline.pipeline.Submission;

/**
 * A machine type as the cloud offers it.
 *
 * @param memoryGb    memory in GB
 * @param cacheGb     size of the image cache in GB
 * @param fetchGbPerS rate at which images are fetched, in GB a second
 * @param price       price of an on-demand machine for an hour
 * @param spotPrice   price of a spot machine for an hour
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
    /** Quotients closer than this to the next integer count as that integer. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** True when one task of the job fits an empty machine of this type and the job's constraints allow the type. */
    public boolean canRun(Submission job) {
        return (job.machineTypes() == null || job.machineTypes().contains(name))
                && job.cores() <= cores
                && job.accelerators() <= accelerators
                && job.memoryGb() <= memoryGb
                && (job.zone() == null || zones.contains(job.zone()));
    }

    /** How many tasks of the job fit an empty machine of this type. */
    public int tasksPerMachine(Submission job) {
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
