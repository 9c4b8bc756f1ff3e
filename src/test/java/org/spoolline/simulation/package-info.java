/**
 * An in-memory deployment under simulated time, and the scenario tests that run on it.
 *
 * <p>{@link org.spoolline.simulation.Simulation} combines an event queue, a network with faults, three real controllers
 * and fakes of the key-value store, the cloud, workers and users. All randomness comes from one seed, so a run replays
 * exactly. {@link org.spoolline.simulation.InvariantChecker} checks safety and service levels against the actions of
 * tasks and the responses that users receive. {@link org.spoolline.simulation.TraceDigest} shows whether two versions
 * send the same messages. The fakes implement the users' protocol, so their code contains its field names.
 */
package org.spoolline.simulation;
