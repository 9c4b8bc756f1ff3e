package org.spoolline.peers;

import com.fasterxml.jackson.databind.JsonNode;

/** What one controller tells another, in CBOR: the highest token it has seen, whom it reaches and who reaches it. */
public record PeerStatus(String node, long token, boolean reachesState, boolean hearsWorkers) {
    public byte[] encode() {
        return Cbor.bytes(Cbor.object()
                .put("node", node)
                .put("token", token)
                .put("state", reachesState)
                .put("workers", hearsWorkers));
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
