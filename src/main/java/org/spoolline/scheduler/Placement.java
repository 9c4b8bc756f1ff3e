package org.spoolline.scheduler;

import org.spoolline.cluster.Machine;

/**
 * One task to launch on a machine.
 *
 * @param task the task's index in its job
 */
record Placement(int task, Machine machine) {}
