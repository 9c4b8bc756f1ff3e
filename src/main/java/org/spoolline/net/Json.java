package org.spoolline.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;

/** Reads and writes JSON as trees. Heartbeats, which are many, are read by {@link #parser} without a tree. */
public final class Json {
    private static final JsonFactory FORMAT = new JsonFactory();
    private static final TreeCodec CODEC = new TreeCodec(FORMAT);

    private Json() {}

    /** A parser for content that is read token by token. */
    public static JsonParser parser(byte[] bytes) throws IOException {
        return FORMAT.createParser(bytes);
    }

    /** A new, empty JSON object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** A new, empty JSON array. */
    public static ArrayNode array() {
        return JsonNodeFactory.instance.arrayNode();
    }

    /** The tree, or a missing node when the bytes are not JSON. */
    public static JsonNode read(byte[] bytes) {
        try {
            return CODEC.read(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    /** The body of every response that reports an error. */
    public static byte[] error(String message) {
        return bytes(object().put("error", message));
    }

    /** The encoded tree. */
    public static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
