package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;

/** CBOR trees, the form of all messages between controllers. */
final class Cbor {
    private static final TreeCodec CODEC = new TreeCodec(new CBORFactory());

    private Cbor() {}

    /** A new empty map. */
    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** The tree that the bytes hold; a missing node when they are not CBOR. */
    static JsonNode read(byte[] bytes) {
        try {
            return CODEC.read(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Encodes the tree. */
    static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            // The bytes are written to memory, so only a tree with a node type that CBOR lacks gets here.
            throw new UncheckedIOException(e);
        }
    }
}
