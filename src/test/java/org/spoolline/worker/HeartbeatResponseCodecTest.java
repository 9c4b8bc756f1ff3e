package org.spoolline.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.pipeline.AttemptId;

/** Checks the exact bytes of the messages to workers, including the order of their fields. */
class HeartbeatResponseCodecTest {
    private static final AttemptId ATTEMPT = new AttemptId("run-1", 7, 8);

    private static void assertResponse(int status, String body, Http.Response response) {
        assertEquals(status, response.status());
        assertEquals(body, text(response.body()));
        assertEquals(0, response.retryAfterS());
    }

    private static String text(byte[] body) {
        return new String(body, StandardCharsets.UTF_8);
    }

    @Test
    void encodesRenewalWithOrdersInSequence() {
        assertResponse(200, "{\"baton\":4194305,\"orders\":[]}", HeartbeatResponseCodec.renewal(4194305, List.of()));
        assertResponse(
                200,
                "{\"baton\":4,\"orders\":["
                        + "{\"verb\":\"kill\",\"slip\":\"run-1/7\",\"try\":8,\"windDownS\":0.0},"
                        + "{\"verb\":\"kill\",\"slip\":\"run-1/7\",\"try\":8,\"windDownS\":4.5},"
                        + "{\"verb\":\"clear\",\"slip\":\"run-1/7\",\"try\":8},"
                        + "{\"verb\":\"launch\",\"slip\":\"run-1/7\",\"try\":8}]}",
                HeartbeatResponseCodec.renewal(
                        4,
                        List.of(
                                new Order.Stop(ATTEMPT, 0),
                                new Order.Stop(ATTEMPT, 4.5),
                                new Order.Clear(ATTEMPT),
                                new Order.Launch(ATTEMPT))));
    }

    @Test
    void encodesRedirectToLeader() {
        assertResponse(421, "{\"foreman\":\"node-1\"}", HeartbeatResponseCodec.redirect("node-1"));
    }

    @Test
    void encodesEarlyHeartbeatRequestWithoutOrders() {
        assertEquals(
                "{\"baton\":4,\"shift\":2,\"orders\":[]}", text(HeartbeatResponseCodec.earlyHeartbeatRequest(4, 2)));
    }

    @Test
    void encodesEveryRejection() {
        Map<HeartbeatRejection, String> texts = new EnumMap<>(HeartbeatRejection.class);
        texts.put(HeartbeatRejection.MALFORMED, "not a check-in");
        texts.put(HeartbeatRejection.NO_KNOWN_LEADER, "no leader is known");
        texts.put(HeartbeatRejection.MACHINE_TERMINATED, "machine is gone");
        texts.put(HeartbeatRejection.LEADER_PROBE, "no contact with the state service");
        texts.put(HeartbeatRejection.STALE_HEARTBEAT, "an older report");
        texts.put(HeartbeatRejection.STALE_VIEW, "too long without contact to renew a lease");
        texts.put(HeartbeatRejection.TERMINATED_WHILE_HELD, "too long without contact to renew a lease");
        for (HeartbeatRejection rejection : HeartbeatRejection.values()) {
            assertResponse(
                    rejection == HeartbeatRejection.MALFORMED ? 400 : 503,
                    "{\"error\":\"" + texts.get(rejection) + "\"}",
                    HeartbeatResponseCodec.rejection(rejection));
        }
    }
}
