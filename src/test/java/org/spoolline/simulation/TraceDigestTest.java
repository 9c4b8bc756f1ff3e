package org.spoolline.simulation;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;

/**
 * The digest must differ if any part of a message differs, and be the same for the same seed; otherwise a changed
 * message would go unnoticed in a comparison. Its line must name the test method.
 */
class TraceDigestTest {
    private static final Http.Request REQUEST = new Http.Request("POST", "/p", "", "body".getBytes(UTF_8));
    private static final Http.Reply REPLY = new Http.Reply(200, "answer".getBytes(UTF_8));

    /** The line of one request sent at 5 ms and its reply received at a given time. */
    private static String line(String from, String target, Http.Request request, long receivedAt, Http.Reply reply) {
        TraceDigest digest = new TraceDigest("w");
        long[] now = {5};
        Consumer<Http.Reply> onReply = digest.addRequest(() -> now[0], from, target, request, r -> {});
        now[0] = receivedAt;
        onReply.accept(reply);
        return digest.line();
    }

    private static String lineOfScenario(long seed) {
        Simulation simulation = new Simulation(seed);
        TraceDigest digest = new TraceDigest("w");
        simulation.network.traceWith(digest);
        for (int i = 0; i < 4; i++) {
            int jobNumber = i;
            simulation.at(3_000 + i * 5_000L, () -> simulation.users.submit(Workloads.mixedJob(simulation, jobNumber)));
        }
        simulation.run(60);
        return digest.line();
    }

    @Test
    void digestCoversEveryPartOfMessage() {
        List<String> lines = List.of(
                line("a", "b:1", REQUEST, 9, REPLY),
                line("ab", ":1", REQUEST, 9, REPLY),
                line("c", "b:1", REQUEST, 9, REPLY),
                line("a", "b:2", REQUEST, 9, REPLY),
                line("a", "b:1", new Http.Request("PUT", "/p", "", REQUEST.body()), 9, REPLY),
                line("a", "b:1", new Http.Request("POST", "/q", "", REQUEST.body()), 9, REPLY),
                line("a", "b:1", new Http.Request("POST", "/p", "x=1", REQUEST.body()), 9, REPLY),
                line("a", "b:1", new Http.Request("POST", "/p", "", new byte[0]), 9, REPLY),
                line("a", "b:1", REQUEST, 10, REPLY),
                line("a", "b:1", REQUEST, 9, new Http.Reply(503, REPLY.body())),
                line("a", "b:1", REQUEST, 9, new Http.Reply(200, new byte[0])));
        assertEquals(lines.size(), lines.stream().distinct().count(), lines::toString);
        assertEquals(lines.get(0), line("a", "b:1", REQUEST, 9, REPLY));
        assertTrue(lines.get(0).matches("w messages=1 [0-9a-f]{32}"), lines.get(0));
    }

    @Test
    void passesReplyToCaller() {
        List<Http.Reply> received = new ArrayList<>();
        new TraceDigest("w")
                .addRequest(() -> 0, "a", "b:1", REQUEST, received::add)
                .accept(REPLY);
        assertEquals(List.of(REPLY), received);
    }

    @Test
    void sameSeedSendsSameMessages() {
        assertEquals(lineOfScenario(1), lineOfScenario(1));
        assertNotEquals(lineOfScenario(1), lineOfScenario(2));
    }

    @Test
    void findsTestMethodOnStack() {
        Supplier<String> nestedCall = () -> List.of(1).stream()
                .map(i -> TraceDigest.testOnStack())
                .findFirst()
                .orElseThrow();
        assertEquals("org.spoolline.simulation.TraceDigestTest#findsTestMethodOnStack", nestedCall.get());
    }
}
