package org.spoolline.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** JSON trees, the form of all JSON but check-ins, which are read as they stream by. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {
    }

    /** For what is read as it streams by. */
    public static JsonParser parser(byte[] bytes) throws IOException {
        return MAPPER.createParser(bytes);
    }

    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** The tree, or a missing node when the bytes are not JSON. */
    public static JsonNode read(byte[] bytes) {
        try {
            JsonNode tree = MAPPER.readTree(bytes);
            return tree == null ? MissingNode.getInstance() : tree;
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
            return MAPPER.writeValueAsBytes(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
