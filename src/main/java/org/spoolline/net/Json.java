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

/** JSON trees, the form of all JSON but heartbeats, which are read as they stream by. */
public final class Json {
    private static final JsonFactory FORMAT = new JsonFactory();
    private static final TreeCodec CODEC = new TreeCodec(FORMAT);

    private Json() {}

    /** For what is read as it streams by. */
    public static JsonParser parser(byte[] bytes) throws IOException {
        return FORMAT.createParser(bytes);
    }

    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

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

    /** The body of every answer that says what is wrong. */
    public static byte[] error(String why) {
        return bytes(object().put("error", why));
    }

    public static byte[] bytes(JsonNode tree) {
        try {
            return CODEC.write(tree);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
