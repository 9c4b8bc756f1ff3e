package org.spoolline.scheduler;

import org.spoolline.cluster.Machine;

/**
 * The assignment of one task to a machine.
 *
 * @param task the task's index in its job
 */
record Placement(int task, Machine machine) {}
