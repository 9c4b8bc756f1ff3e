package org.spoolline.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.upgrade.ProductionSamples;

/** Encoding of the messages between controllers, compared with that of the version in production. */
class PeerCodecTest {
    private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);
    private static final byte[] INVALID_CBOR = {(byte) 0xff};

    @Test
    void encodesStatusAsProductionVersion() {
        assertArrayEquals(
                ProductionSamples.bytes("peer-status.cbor"),
                PeerCodec.encode(new PeerStatus("spooler-1", 41, true, false)));
    }

    @Test
    void roundTripsForwardedRequestAndResponse() {
        Http.Request request = PeerCodec.decodeRequest(
                        PeerCodec.encode(new Http.Request("POST", "/jobs", "ignored=1", BODY)))
                .orElseThrow();
        assertEquals("POST", request.method());
        assertEquals("/jobs", request.path());
        assertEquals("", request.query());
        assertArrayEquals(BODY, request.body());
        Http.Response response = PeerCodec.decodeResponse(PeerCodec.encode(new Http.Response(429, BODY, 3)))
                .orElseThrow();
        assertEquals(429, response.status());
        assertEquals(3, response.retryAfterS());
        assertArrayEquals(BODY, response.body());
    }

    @Test
    void roundTripsCancellation() {
        assertEquals("run-000001", PeerCodec.decodeCancellation(PeerCodec.encodeCancellation("run-000001")));
    }

    /** A reply without a body, as of the version in production, must not pass for an acknowledgement. */
    @Test
    void acknowledgesCancellationOnlyExplicitly() {
        assertEquals(
                CancellationReply.ACKNOWLEDGED,
                PeerCodec.decodeCancellationReply(PeerCodec.encodeCancellationReply(true)));
        for (byte[] reply : List.of(PeerCodec.encodeCancellationReply(false), new byte[0], INVALID_CBOR, BODY)) {
            assertEquals(CancellationReply.NOT_ACKNOWLEDGED, PeerCodec.decodeCancellationReply(reply));
        }
    }

    @Test
    void rejectsInvalidMessages() {
        assertTrue(PeerCodec.decodeStatus(INVALID_CBOR).isEmpty());
        assertTrue(PeerCodec.decodeRequest(INVALID_CBOR).isEmpty());
        assertTrue(PeerCodec.decodeResponse(INVALID_CBOR).isEmpty());
        // A status has no body, so it must not be decoded as a request.
        assertTrue(PeerCodec.decodeRequest(ProductionSamples.bytes("peer-status.cbor"))
                .isEmpty());
        assertEquals("", PeerCodec.decodeCancellation(INVALID_CBOR));
    }
}
