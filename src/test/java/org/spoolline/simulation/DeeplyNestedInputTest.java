package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.spoolline.Controller;
import org.spoolline.config.NetworkConstants;
import org.spoolline.metrics.Event;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.SubmissionCodec;

/** Tests that the stack which a request needs does not depend on how deep its body is nested. */
class DeeplyNestedInputTest {
    /** Half of the smallest default stack of a thread on the supported platforms. */
    private static final long STACK_BYTES = 256 * 1024;
    /** Requests with each body: enough for the JIT compiler to compile the code that reads it. */
    private static final int REPETITIONS = 40;

    private static final int BODY_BYTES = NetworkConstants.MAX_BODY_BYTES;
    private static final List<Nesting> NESTINGS =
            List.of(new Nesting("{\"a\":", "}"), new Nesting("[", "]"), new Nesting("{\"a\":[", "]}"));

    /** The start and the end of one level of nesting. */
    private record Nesting(String opening, String closing) {
        /** As many levels as fit into a body, without their ends. */
        byte[] cutOff() {
            return bytes(opening.repeat(BODY_BYTES / opening.length()));
        }

        /** A value of as many complete levels as fit into the given number of bytes. */
        String value(int maxBytes) {
            int levels = (maxBytes - 1) / (opening.length() + closing.length());
            String innermost = opening.endsWith("[") ? "" : "1";
            return opening.repeat(levels) + innermost + closing.repeat(levels);
        }

        /** A body of the maximum size: the given fields and an unknown nested one. */
        byte[] unknownField(String fields) {
            return bytes("{" + fields + ",\"odd\":" + value(BODY_BYTES - fields.length() - 10) + "}");
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Runs the action repeatedly on a thread with a small stack, and fails if it throws anything. */
    private static void runWithSmallStack(Runnable action) throws InterruptedException {
        AtomicReference<Throwable> thrown = new AtomicReference<>();
        Runnable repeated = () -> {
            for (int i = 0; i < REPETITIONS; i++) {
                action.run();
            }
        };
        Thread thread = new Thread(null, repeated, "small stack", STACK_BYTES);
        thread.setUncaughtExceptionHandler((t, e) -> thrown.set(e));
        thread.start();
        thread.join();
        assertNull(thrown.get(), () -> "thrown: " + thrown.get());
    }

    private static Controller leader() {
        Simulation simulation = new Simulation(1);
        simulation.run(5);
        return simulation.controllers.processes().stream()
                .filter(process -> process.name().equals(simulation.leader()))
                .findFirst()
                .orElseThrow()
                .controller();
    }

    private static int statusOf(Controller controller, String path, byte[] body) {
        AtomicInteger status = new AtomicInteger();
        controller.serve(new Http.Request("POST", path, "", body), response -> status.set(response.status()));
        return status.get();
    }

    /** The incident: one such submission ended every controller that read it. */
    @Test
    void unfinishedNestedSubmissionDoesNotOverflowTheStack() throws InterruptedException {
        Controller leader = leader();
        for (Nesting nesting : NESTINGS) {
            byte[] body = nesting.cutOff();
            runWithSmallStack(() -> assertEquals(400, statusOf(leader, "/submissions", body)));
        }
    }

    @Test
    void nestedUnknownFieldOfSubmissionIsIgnored() throws InterruptedException {
        String job =
                new Simulation(1).users.job("blue", "batch", 12, 1, 15).body().toString();
        for (Nesting nesting : NESTINGS) {
            byte[] body = nesting.unknownField(job.substring(1, job.length() - 1));
            runWithSmallStack(() -> {
                try {
                    assertEquals(12, SubmissionCodec.parse(Json.read(body)).tasks());
                } catch (SubmissionCodec.Malformed e) {
                    throw new AssertionError(nesting + " is rejected", e);
                }
            });
        }
    }

    @Test
    void nestedUnknownFieldOfHeartbeatIsIgnored() throws InterruptedException {
        Controller leader = leader();
        AtomicInteger tick = new AtomicInteger();
        for (Nesting nesting : NESTINGS) {
            runWithSmallStack(() -> {
                String fields = "\"spooler\":\"m-009999\",\"shift\":1,\"tick\":" + tick.incrementAndGet();
                statusOf(leader, "/checkin", nesting.unknownField(fields));
                assertEquals(0, leader.counters().get(Event.HEARTBEAT_MALFORMED));
            });
        }
    }

    @Test
    void nestedPeerMessageDoesNotOverflowTheStack() throws InterruptedException {
        Controller leader = leader();
        byte[] mapOfOne = {(byte) 0xa1, 0x61, 'a'};
        byte[] arrayOfOne = {(byte) 0x81};
        byte[] unboundedArray = {(byte) 0x9f};
        for (byte[] opening : List.of(mapOfOne, arrayOfOne, unboundedArray)) {
            byte[] body = repeat(opening, BODY_BYTES / opening.length);
            runWithSmallStack(() -> {
                for (String path : List.of("/status", "/forward", "/cancelled")) {
                    leader.servePeer(new Http.Request("POST", path, "", body), response -> {});
                }
            });
        }
    }

    private static byte[] repeat(byte[] part, int times) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < times; i++) {
            all.writeBytes(part);
        }
        return all.toByteArray();
    }

    /** The cloud's machine types are stored as they were received, so a nested field of them is also written. */
    @Test
    void nestedTreeIsReadAndWritten() throws InterruptedException {
        for (Nesting nesting : NESTINGS) {
            byte[] value = bytes(nesting.value(BODY_BYTES));
            runWithSmallStack(() -> assertEquals(value.length, Json.bytes(Json.read(value)).length));
        }
    }
}
