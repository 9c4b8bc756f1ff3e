package org.spoolline.pipeline;

/**
 * What each task of a job takes of its machine.
 *
 * @param cores        processor cores, above 0
 * @param accelerators accelerators, from 0
 * @param memoryGb     memory in GB
 * @param image        name of the image that the task runs
 * @param imageGb      size of the image in GB, which a machine fetches before the first task that runs it
 */
public record TaskResources(double cores, double accelerators, double memoryGb, String image, double imageGb) {}
