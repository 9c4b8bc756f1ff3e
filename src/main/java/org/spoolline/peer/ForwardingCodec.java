package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import org.spoolline.net.Http;

/** A user's request that one controller hands to another, and its answer, in CBOR. */
final class ForwardingCodec {
    private ForwardingCodec() {}

    static byte[] encode(Http.Request request) {
        return Cbor.bytes(Cbor.object()
                .put("method", request.method())
                .put("path", request.path())
                .put("body", request.body()));
    }

    static byte[] encode(Http.Response response) {
        return Cbor.bytes(Cbor.object()
                .put("status", response.status())
                .put("body", response.body())
                .put("retry", response.retryAfterS()));
    }

    /** Null when the bytes are no forwarded request. */
    static Http.Request request(byte[] bytes) {
        JsonNode node = Cbor.read(bytes);
        return node.path("body") instanceof BinaryNode body
                ? new Http.Request(
                        node.path("method").asText(), node.path("path").asText(), "", body.binaryValue())
                : null;
    }

    /** Null when the bytes are no answer. */
    static Http.Response response(byte[] bytes) {
        JsonNode node = Cbor.read(bytes);
        return node.path("body") instanceof BinaryNode body
                ? new Http.Response(
                        node.path("status").asInt(),
                        body.binaryValue(),
                        node.path("retry").asInt())
                : null;
    }
}
