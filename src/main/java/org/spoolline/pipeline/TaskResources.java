package org.spoolline.pipeline;

/**
 * The resources that each task of a job uses on its machine.
 *
 * @param cores        processor cores, more than 0
 * @param accelerators accelerators, 0 or more
 * @param memoryGb     memory in GB
 * @param image        name of the image that the task runs
 * @param imageGb      size of the image in GB; a machine fetches the image before the first task that runs it
 */
public record TaskResources(double cores, double accelerators, double memoryGb, String image, double imageGb) {}
