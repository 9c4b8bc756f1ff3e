package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;

/** What one controller tells another, in CBOR: the highest token it has seen, whom it reaches and who reaches it. */
public record PeerStatus(String node, long token, boolean reachesStore, boolean receivesHeartbeats) {
    public byte[] encode() {
        return Cbor.bytes(Cbor.object()
                .put("node", node)
                .put("token", token)
                .put("state", reachesStore)
                .put("workers", receivesHeartbeats));
    }

    /** Null when the bytes are no status. */
    public static PeerStatus decode(byte[] bytes) {
        JsonNode node = Cbor.read(bytes);
        return !node.isObject()
                ? null
                : new PeerStatus(
                        node.path("node").asText(),
                        node.path("token").asLong(),
                        node.path("state").asBoolean(),
                        node.path("workers").asBoolean());
    }
}
