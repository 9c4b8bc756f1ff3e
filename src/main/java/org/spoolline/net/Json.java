package org.spoolline.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;

/**
 * Reads and writes JSON as trees. Heartbeats are so frequent that they are read without a tree, with {@link #parser}.
 */
public final class Json {
    private static final JsonFactory FORMAT =
            FormatLimits.apply(new JsonFactoryBuilder()).build();
    private static final TreeCodec CODEC = new TreeCodec(FORMAT);

    private Json() {}

    /** Returns a streaming parser for the bytes. */
    public static JsonParser parser(byte[] bytes) throws IOException {
        return FORMAT.createParser(bytes);
    }

    /** Returns a new, empty JSON object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Returns a new, empty JSON array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Parses the bytes into a tree; returns a missing node if they are not exactly one JSON value. */
    public static JsonNode read(byte[] bytes) {
        try {
            return CODEC.readOnly(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** Returns the body of an error response with the given message. */
    public static byte[] error(String message) {
        return bytes(object().put("error", message));
    }

    /** Encodes the tree. */
    public static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
