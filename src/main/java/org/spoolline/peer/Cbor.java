package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;

/** CBOR trees, the form of everything that controllers tell one another. */
final class Cbor {
    private static final TreeCodec CODEC = new TreeCodec(new CBORFactory());

    private Cbor() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** The tree, or a missing node when the bytes are not CBOR. */
    static JsonNode read(byte[] bytes) {
        try {
            return CODEC.read(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
