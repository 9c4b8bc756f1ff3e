package org.spoolline.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.TaskStatus;

/** Checks how each field of a heartbeat is decoded, and which bodies are rejected as malformed. */
class HeartbeatCodecTest {
    private static final String MACHINE = "\"spooler\":\"m-1\",\"addr\":\"m-1:9\",\"build\":\"small\",\"yard\":\"a\"";
    private static final String INCARNATION_NUMBER_TOKEN = "\"shift\":2,\"tick\":3,\"baton\":4";

    /** The decoded heartbeat, or null when the body is rejected. */
    private static Heartbeat decode(String body) {
        return HeartbeatCodec.decode(body.getBytes(StandardCharsets.UTF_8)).orElse(null);
    }

    private static Heartbeat withTask(String task) {
        return decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":[" + task + "]}");
    }

    private static TaskStatus onlyTask(String task) {
        Heartbeat heartbeat = withTask(task);
        assertNotNull(heartbeat, task);
        assertEquals(1, heartbeat.tasks().size(), task);
        return heartbeat.tasks().get(0);
    }

    @Test
    void decodesEveryField() {
        Heartbeat heartbeat =
                decode("{" + MACHINE + ",\"standby\":true," + INCARNATION_NUMBER_TOKEN + ",\"recallS\":30.5,\"slips\":["
                        + "{\"slip\":\"run-1/7\",\"try\":8,\"status\":\"exited\",\"cause\":\"halted\",\"kept\":true},"
                        + "{\"slip\":\"run/2/0\",\"try\":1,\"status\":\"running\"}]}");
        assertEquals("m-1", heartbeat.machine());
        assertEquals("m-1:9", heartbeat.address());
        assertEquals("small", heartbeat.type());
        assertEquals("a", heartbeat.zone());
        assertEquals(true, heartbeat.spot());
        assertEquals(2, heartbeat.incarnation());
        assertEquals(3, heartbeat.number());
        assertEquals(4, heartbeat.token());
        assertEquals(OptionalDouble.of(30.5), heartbeat.interruptionNoticeS());
        assertEquals(
                List.of(
                        new TaskStatus("run-1", 7, 8, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.STOPPED, true),
                        new TaskStatus("run/2", 0, 1, TaskStatus.Phase.RUNNING, null, false)),
                heartbeat.tasks());
    }

    @Test
    void requiresOnlyMachineIncarnationAndNumber() {
        Heartbeat heartbeat = decode("{\"spooler\":\"m-1\",\"shift\":0,\"tick\":0}");
        assertEquals("", heartbeat.address());
        assertEquals("", heartbeat.type());
        assertEquals("", heartbeat.zone());
        assertFalse(heartbeat.spot());
        assertEquals(0, heartbeat.token());
        assertEquals(OptionalDouble.empty(), heartbeat.interruptionNoticeS());
        assertEquals(List.of(), heartbeat.tasks());
    }

    @Test
    void skipsUnknownFields() {
        Heartbeat heartbeat =
                decode("{\"odd\":{\"slips\":[{}]}," + MACHINE + ",\"odd2\":[1,[2]]," + INCARNATION_NUMBER_TOKEN + "}");
        assertEquals("m-1", heartbeat.machine());
        assertEquals(3, heartbeat.number());
        TaskStatus task =
                onlyTask("{\"odd\":[{}],\"slip\":\"run-1/0\",\"odd2\":{\"try\":9},\"try\":2,\"status\":\"pulling\"}");
        assertEquals(2, task.attempt());
    }

    @Test
    void decodesNullInterruptionNotice() {
        assertEquals(
                OptionalDouble.empty(),
                decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"recallS\":null}")
                        .interruptionNoticeS());
        assertEquals(
                OptionalDouble.of(0),
                decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"recallS\":0}")
                        .interruptionNoticeS());
    }

    /** The last value of a repeated field is used, while repeated task lists are concatenated. */
    @Test
    void decodesRepeatedFields() {
        String task = "{\"slip\":\"run-1/0\",\"try\":1,\"status\":\"running\"}";
        Heartbeat heartbeat = decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"tick\":9,\"slips\":[" + task
                + "],\"slips\":[" + task + "]}");
        assertEquals(9, heartbeat.number());
        assertEquals(2, heartbeat.tasks().size());
    }

    @Test
    void decodesEveryPhase() {
        List<String> wireValues = List.of("pulling", "gathering", "running", "flushing", "exited");
        for (TaskStatus.Phase phase : TaskStatus.Phase.values()) {
            String wireValue = wireValues.get(phase.ordinal());
            assertEquals(
                    phase,
                    onlyTask("{\"slip\":\"j/0\",\"status\":\"" + wireValue + "\"}")
                            .phase());
        }
    }

    @Test
    void decodesEveryExitReasonAndUnknownAsFailed() {
        List<String> wireValues =
                List.of("done", "halted", "mates_gone", "alone", "error", "no_room", "in_use", "unknown");
        for (TaskStatus.ExitReason reason : TaskStatus.ExitReason.values()) {
            String task =
                    "{\"slip\":\"j/0\",\"status\":\"exited\",\"cause\":\"" + wireValues.get(reason.ordinal()) + "\"}";
            assertEquals(reason, onlyTask(task).exitReason());
        }
        for (String cause : List.of("\"odd\"", "null", "7", "\"\"")) {
            assertEquals(
                    TaskStatus.ExitReason.FAILED,
                    onlyTask("{\"slip\":\"j/0\",\"status\":\"exited\",\"cause\":" + cause + "}")
                            .exitReason(),
                    cause);
        }
    }

    @Test
    void ignoresExitReasonBeforeExit() {
        assertNull(onlyTask("{\"slip\":\"j/0\",\"status\":\"running\",\"cause\":\"done\"}")
                .exitReason());
    }

    @Test
    void rejectsMalformedHeartbeats() {
        for (String body : List.of(
                "",
                "odd",
                "null",
                "[]",
                "7",
                "{}",
                "{",
                "{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN,
                "{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":[",
                "{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":[7]}",
                "{" + INCARNATION_NUMBER_TOKEN + "}",
                "{\"spooler\":\"\"," + INCARNATION_NUMBER_TOKEN + "}",
                "{\"spooler\":null," + INCARNATION_NUMBER_TOKEN + "}",
                "{" + MACHINE + ",\"shift\":2}",
                "{" + MACHINE + ",\"tick\":3}",
                "{" + MACHINE + ",\"shift\":-1,\"tick\":3}",
                "{" + MACHINE + ",\"shift\":2,\"tick\":-1}",
                "{" + MACHINE + ",\"shift\":\"odd\",\"tick\":3}",
                "{" + MACHINE + ",\"shift\":[2],\"tick\":3}")) {
            assertNull(decode(body), body);
        }
    }

    @Test
    void rejectsHeartbeatWithMalformedTask() {
        for (String task : List.of(
                "{}",
                "{\"slip\":\"j/0\"}",
                "{\"status\":\"running\"}",
                "{\"slip\":\"j/0\",\"status\":\"odd\"}",
                "{\"slip\":\"j/0\",\"status\":null}",
                "{\"slip\":\"j\",\"status\":\"running\"}",
                "{\"slip\":\"j/\",\"status\":\"running\"}",
                "{\"slip\":\"j/odd\",\"status\":\"running\"}",
                "{\"slip\":\"j/99999999999\",\"status\":\"running\"}",
                "{\"slip\":null,\"status\":\"running\"}")) {
            assertNull(withTask(task), task);
        }
    }

    /** A heartbeat that is taken without its task list makes the leader start its tasks on other machines. */
    @Test
    void rejectsHeartbeatWithMalformedFieldWhereverItIs() {
        String task = "{\"slip\":\"run-1/0\",\"try\":1,\"status\":\"running\"}";
        String sound = MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":[" + task + "]";
        assertEquals(1, decode("{" + sound + "}").tasks().size());
        for (String value : List.of("{}", "[]", "{\"a\":1}", "[1]", "[[]]")) {
            for (String field :
                    List.of("spooler", "addr", "build", "yard", "standby", "shift", "tick", "baton", "recallS")) {
                String malformed = "\"" + field + "\":" + value;
                assertNull(decode("{" + malformed + "," + sound + "}"), malformed);
                assertNull(decode("{" + sound + "," + malformed + "}"), malformed);
            }
            for (String field : List.of("slip", "try", "status", "cause", "kept")) {
                String malformed = "\"" + field + "\":" + value;
                assertNull(withTask("{" + malformed + "," + task.substring(1)), malformed);
                assertNull(withTask(task.substring(0, task.length() - 1) + "," + malformed + "}"), malformed);
            }
        }
        for (String rest : List.of("}", "{", ",", " odd", "{" + sound + "}")) {
            assertNull(decode("{" + sound + "}" + rest), rest);
        }
    }

    @Test
    void decodesNumbersAsTextAndEmptyTaskLists() {
        assertEquals(
                3, decode("{" + MACHINE + ",\"shift\":\"2\",\"tick\":\"3\"}").number());
        assertEquals(
                List.of(),
                decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":[]}")
                        .tasks());
        assertNull(decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":{}}"));
        assertNull(decode("{" + MACHINE + "," + INCARNATION_NUMBER_TOKEN + ",\"slips\":7}"));
        assertNull(decode("{" + MACHINE + ",\"slips\":null," + INCARNATION_NUMBER_TOKEN + "}"));
    }
}
