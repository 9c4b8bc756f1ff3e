package org.spoolline.cluster;

/**
 * What never changes about a machine.
 *
 * @param name unique among all machines ever known
 * @param type the name of its {@link MachineType}
 * @param zone the zone it runs in
 * @param spot true for a spot machine, which the cloud may take back
 */
record MachineIdentity(String name, String type, String zone, boolean spot) {}
