package org.spoolline.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import java.util.Optional;
import org.spoolline.net.Http;

/**
 * Encodes and decodes the messages between controllers, in CBOR. The field names must not change: during a rolling
 * upgrade, controllers of the previous version send and read the same fields.
 */
public final class PeerCodec {
    private static final String NODE = "node";
    private static final String TOKEN = "token";
    private static final String REACHES_STORE = "state";
    private static final String RECEIVES_HEARTBEATS = "workers";
    private static final String METHOD = "method";
    private static final String PATH = "path";
    private static final String BODY = "body";
    private static final String STATUS = "status";
    private static final String RETRY_AFTER_S = "retry";
    private static final String CANCELLED_JOB_ID = "uid";
    private static final String ACKNOWLEDGED = "acknowledged";

    private PeerCodec() {}

    static byte[] encode(PeerStatus status) {
        return Cbor.bytes(Cbor.object()
                .put(NODE, status.node())
                .put(TOKEN, status.token())
                .put(REACHES_STORE, status.reachesStore())
                .put(RECEIVES_HEARTBEATS, status.receivesHeartbeats()));
    }

    /** Decodes a peer's status; empty if the bytes are not a CBOR map. */
    public static Optional<PeerStatus> decodeStatus(byte[] bytes) {
        JsonNode status = Cbor.read(bytes);
        if (!status.isObject()) {
            return Optional.empty();
        }
        return Optional.of(new PeerStatus(
                status.path(NODE).asText(),
                status.path(TOKEN).asLong(),
                status.path(REACHES_STORE).asBoolean(),
                status.path(RECEIVES_HEARTBEATS).asBoolean()));
    }

    /** Encodes a user's request that is forwarded to another controller; the query is left out. */
    static byte[] encode(Http.Request request) {
        return Cbor.bytes(Cbor.object()
                .put(METHOD, request.method())
                .put(PATH, request.path())
                .put(BODY, request.body()));
    }

    /** Decodes a forwarded request, whose query is always empty; empty if the bytes are not a request. */
    static Optional<Http.Request> decodeRequest(byte[] bytes) {
        JsonNode request = Cbor.read(bytes);
        if (!(request.path(BODY) instanceof BinaryNode body)) {
            return Optional.empty();
        }
        return Optional.of(new Http.Request(
                request.path(METHOD).asText(), request.path(PATH).asText(), "", body.binaryValue()));
    }

    /** Encodes the response to a forwarded request. */
    static byte[] encode(Http.Response response) {
        return Cbor.bytes(Cbor.object()
                .put(STATUS, response.status())
                .put(BODY, response.body())
                .put(RETRY_AFTER_S, response.retryAfterS()));
    }

    /** Decodes the response to a forwarded request; empty if the bytes are not a response. */
    static Optional<Http.Response> decodeResponse(byte[] bytes) {
        JsonNode response = Cbor.read(bytes);
        if (!(response.path(BODY) instanceof BinaryNode body)) {
            return Optional.empty();
        }
        return Optional.of(new Http.Response(
                response.path(STATUS).asInt(),
                body.binaryValue(),
                response.path(RETRY_AFTER_S).asInt()));
    }

    /** Encodes the notification that a job's cancellation is committed. */
    static byte[] encodeCancellation(String jobId) {
        return Cbor.bytes(Cbor.object().put(CANCELLED_JOB_ID, jobId));
    }

    /** Encodes the reply to that notification. */
    static byte[] encodeCancellationReply(boolean acknowledged) {
        return Cbor.bytes(Cbor.object().put(ACKNOWLEDGED, acknowledged));
    }

    /** Decodes the reply to that notification. Controllers of the previous version reply without a body. */
    static CancellationReply decodeCancellationReply(byte[] bytes) {
        return Cbor.read(bytes).path(ACKNOWLEDGED).asBoolean()
                ? CancellationReply.ACKNOWLEDGED
                : CancellationReply.NOT_ACKNOWLEDGED;
    }

    /** Decodes the cancelled job's id; an empty string, which is not a valid job id, if the bytes contain none. */
    static String decodeCancellation(byte[] bytes) {
        return Cbor.read(bytes).path(CANCELLED_JOB_ID).asText();
    }
}
