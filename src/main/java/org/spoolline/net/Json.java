package org.spoolline.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.spoolline.codec.TreeCodec;

/**
 * Reads and writes JSON as trees. Heartbeats are so frequent that they are read without a tree, with
 * {@link #parseWith}. The parser keeps short field names, which makes it faster; a body with a longer one is read again
 * by a parser that keeps nothing, since the sender decides on the names.
 */
public final class Json {
    private static final JsonFactory FORMAT =
            FormatLimits.keepingNames(new JsonFactoryBuilder()).build();
    private static final JsonFactory LONG_NAMES_FORMAT =
            FormatLimits.keepingNothing(new JsonFactoryBuilder()).build();
    private static final TreeCodec CODEC = new TreeCodec(FORMAT);
    private static final TreeCodec LONG_NAMES_CODEC = new TreeCodec(LONG_NAMES_FORMAT);

    private Json() {}

    /** Reads a value with a streaming parser. */
    public interface Reader<T> {
        /** Returns the value of the parser's content; may be called again with a parser of the same content. */
        T read(JsonParser parser) throws IOException;
    }

    /** Reads the bytes with a streaming parser and closes it. */
    public static <T> T parseWith(Reader<T> reader, byte[] bytes) throws IOException {
        try (JsonParser parser = FORMAT.createParser(bytes)) {
            return reader.read(parser);
        } catch (StreamConstraintsException e) {
            try (JsonParser parser = LONG_NAMES_FORMAT.createParser(bytes)) {
                return reader.read(parser);
            }
        }
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
            return readTree(bytes);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private static JsonNode readTree(byte[] bytes) throws IOException {
        try {
            return CODEC.readOnly(bytes);
        } catch (StreamConstraintsException e) {
            return LONG_NAMES_CODEC.readOnly(bytes);
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
