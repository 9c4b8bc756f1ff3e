package org.spoolline.cluster;

/**
 * The immutable properties of a machine.
 *
 * @param name unique and never reused
 * @param type the name of its {@link MachineType}
 * @param zone the machine's zone
 * @param spot true for a spot machine, which the cloud may reclaim
 */
record MachineIdentity(String name, String type, String zone, boolean spot) {}
