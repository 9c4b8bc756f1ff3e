package org.spoolline.pipeline;

/**
 * One start of a task on a machine, in the session of that machine in which it was placed. It is in the pipeline's
 * value before the launch is sent, and leaves it only on proof that it is gone.
 */
public record Attempt(int task, long number, String machine, long session) {
}
