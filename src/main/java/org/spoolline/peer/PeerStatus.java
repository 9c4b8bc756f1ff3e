package org.spoolline.peer;

/**
 * The status that each controller sends to its peers every few seconds.
 *
 * @param node the sender's node name
 * @param token the highest fencing token that the sender knows
 * @param reachesStore true when the sender reaches the key-value store
 * @param receivesHeartbeats true when workers send heartbeats to the sender
 */
public record PeerStatus(String node, long token, boolean reachesStore, boolean receivesHeartbeats) {}
