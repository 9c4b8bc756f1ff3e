/**
 * An in-memory deployment under simulated time, and the scenario tests that run on it.
 *
 * <p>{@link org.spoolline.simulation.Simulation} joins an event queue, a network with faults, three real controllers
 * and fakes of what surrounds them: key-value store, cloud, workers and users. All randomness comes from one seed, so a
 * run replays exactly. {@link org.spoolline.simulation.InvariantChecker} checks safety and service levels on what tasks
 * do and users are told; {@link org.spoolline.simulation.TraceDigest} shows whether two versions send the same
 * messages. Fakes speak the users' protocol, so they hold its field names.
 */
package org.spoolline.simulation;
