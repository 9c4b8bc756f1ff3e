package org.spoolline.peers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import org.spoolline.net.Http;

/** A user's request that one controller hands to another, and its answer, in CBOR. */
final class Forwarded {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    private Forwarded() {
    }

    static byte[] encode(Http.Request request) {
        ObjectNode node = CBOR.createObjectNode().put("method", request.method()).put("path", request.path())
                .put("body", request.body());
        return bytes(node);
    }

    static byte[] encode(Http.Response response) {
        ObjectNode node = CBOR.createObjectNode().put("status", response.status()).put("body", response.body())
                .put("retry", response.retryAfterS());
        return bytes(node);
    }

    /** Null when the bytes are no forwarded request. */
    static Http.Request request(byte[] bytes) {
        JsonNode node = read(bytes);
        try {
            return node == null ? null : new Http.Request(node.path("method").asText(), node.path("path").asText(),
                    "", node.path("body").binaryValue());
        } catch (IOException e) {
            return null;
        }
    }

    /** Null when the bytes are no answer. */
    static Http.Response response(byte[] bytes) {
        JsonNode node = read(bytes);
        try {
            return node == null ? null : new Http.Response(node.path("status").asInt(),
                    node.path("body").binaryValue(), node.path("retry").asInt());
        } catch (IOException e) {
            return null;
        }
    }

    private static JsonNode read(byte[] bytes) {
        try {
            JsonNode node = CBOR.readTree(bytes);
            return node != null && node.path("body").isBinary() ? node : null;
        } catch (IOException e) {
            return null;
        }
    }

    private static byte[] bytes(ObjectNode node) {
        try {
            return CBOR.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
