package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;
import org.spoolline.net.FormatLimits;

/** Reads and writes CBOR trees, the encoding of all messages between controllers. */
final class Cbor {
    private static final TreeCodec CODEC =
            new TreeCodec(FormatLimits.keepingNothing(CBORFactory.builder()).build());

    private Cbor() {}

    /** A new empty map. */
    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Decodes the bytes; returns a missing node if they are not valid CBOR. */
    static JsonNode read(byte[] bytes) {
        try {
            return CODEC.read(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Encodes a tree as CBOR. */
    static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            // Writing to memory cannot fail, so the tree contains a node type that CBOR does not support.
            throw new UncheckedIOException(e);
        }
    }
}
