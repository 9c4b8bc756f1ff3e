package org.spoolline.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/** What one controller tells another, in CBOR: the highest token it has seen, whom it reaches and who reaches it. */
public record PeerStatus(String node, long token, boolean reachesState, boolean hearsWorkers) {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    public byte[] encode() {
        ObjectNode node = CBOR.createObjectNode().put("node", this.node).put("token", token)
                .put("state", reachesState).put("workers", hearsWorkers);
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Null when the bytes are no status. */
    public static PeerStatus decode(byte[] bytes) {
        try {
            JsonNode node = CBOR.readTree(bytes);
            return node == null || !node.isObject() ? null : new PeerStatus(node.path("node").asText(),
                    node.path("token").asLong(), node.path("state").asBoolean(),
                    node.path("workers").asBoolean());
        } catch (IOException e) {
            return null;
        }
    }
}
