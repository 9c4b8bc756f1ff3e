package org.spoolline.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

/** CBOR trees, the form of everything that controllers tell one another. */
final class Cbor {
    private static final ObjectMapper MAPPER = new ObjectMapper(new CBORFactory());

    private Cbor() {
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** The tree, or a missing node when the bytes are not CBOR. */
    static JsonNode read(byte[] bytes) {
        try {
            JsonNode tree = MAPPER.readTree(bytes);
            return tree == null ? MissingNode.getInstance() : tree;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    static byte[] bytes(JsonNode tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
