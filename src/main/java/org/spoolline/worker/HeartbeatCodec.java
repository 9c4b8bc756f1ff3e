package org.spoolline.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.net.Json;

/**
 * Decodes heartbeats from their wire form. Only this class and {@link HeartbeatResponseCodec} know the workers' field
 * names. It uses a streaming parser and builds no tree, because heartbeats are the most frequent requests. An
 * instance holds the fields that have been read of one heartbeat.
 */
final class HeartbeatCodec {
    /** Fields of a heartbeat and of its tasks whose value is no object or array. */
    private static final Set<String> SCALAR_FIELDS = Set.of(
            "spooler", "addr", "build", "yard", "standby", "shift", "tick", "baton", "recallS", "slip", "try", "status",
            "cause", "kept");

    private final JsonParser parser;
    private String machine = "";
    private String address = "";
    private String type = "";
    private String zone = "";
    private boolean spot;
    private long incarnation = -1;
    private long number = -1;
    private long token;
    private OptionalDouble interruptionNoticeS = OptionalDouble.empty();
    private final List<TaskStatus> tasks = new ArrayList<>();

    private HeartbeatCodec(JsonParser parser) {
        this.parser = parser;
    }

    /**
     * Decodes a heartbeat; empty when the body is malformed or a required field is missing. Unknown fields are
     * skipped.
     */
    static Optional<Heartbeat> decode(byte[] body) {
        try {
            return Json.parseWith(HeartbeatCodec::decode, body);
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Optional<Heartbeat> decode(JsonParser parser) throws IOException {
        return parser.nextToken() == JsonToken.START_OBJECT ? new HeartbeatCodec(parser).read() : Optional.empty();
    }

    private Optional<Heartbeat> read() throws IOException {
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (!readField(field, value)) {
                return Optional.empty();
            }
        }
        boolean complete = parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null;
        return complete && !machine.isEmpty() && incarnation >= 0 && number >= 0
                ? Optional.of(new Heartbeat(
                        machine, address, type, zone, spot, incarnation, number, token, interruptionNoticeS, tasks))
                : Optional.empty();
    }

    /** Reads the parser's current value as that of the field; false when the value makes the heartbeat malformed. */
    private boolean readField(String field, JsonToken value) throws IOException {
        if (value == null || value.isStructStart() && SCALAR_FIELDS.contains(field)) {
            return false;
        }
        switch (field) {
            case "spooler" -> machine = parser.getValueAsString("");
            case "addr" -> address = parser.getValueAsString("");
            case "build" -> type = parser.getValueAsString("");
            case "yard" -> zone = parser.getValueAsString("");
            case "standby" -> spot = parser.getValueAsBoolean();
            case "shift" -> incarnation = parser.getValueAsLong(-1);
            case "tick" -> number = parser.getValueAsLong(-1);
            case "baton" -> token = parser.getValueAsLong();
            case "recallS" -> interruptionNoticeS = value == JsonToken.VALUE_NULL
                    ? OptionalDouble.empty()
                    : OptionalDouble.of(parser.getValueAsDouble());
            case "slips" -> {
                return readTasks();
            }
            default -> parser.skipChildren();
        }
        return true;
    }

    /** Reads an array of task objects; false when it is not one, or when one of the tasks is malformed. */
    private boolean readTasks() throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            return false;
        }
        while (parser.nextToken() == JsonToken.START_OBJECT) {
            if (!readTask()) {
                return false;
            }
        }
        return parser.currentToken() == JsonToken.END_ARRAY;
    }

    private boolean readTask() throws IOException {
        String taskId = "";
        long attempt = 0;
        String status = "";
        String cause = "";
        boolean checkpointed = false;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (value == null || value.isStructStart() && SCALAR_FIELDS.contains(field)) {
                return false;
            }
            switch (field) {
                case "slip" -> taskId = parser.getValueAsString("");
                case "try" -> attempt = parser.getValueAsLong();
                case "status" -> status = parser.getValueAsString("");
                case "cause" -> cause = parser.getValueAsString("");
                case "kept" -> checkpointed = parser.getValueAsBoolean();
                default -> parser.skipChildren();
            }
        }
        int separator = taskId.lastIndexOf('/');
        Optional<TaskStatus.Phase> phase = phase(status);
        if (parser.currentToken() != JsonToken.END_OBJECT || separator < 0 || phase.isEmpty()) {
            return false;
        }
        String jobId = taskId.substring(0, separator);
        int task = Integer.parseInt(taskId.substring(separator + 1));
        TaskStatus.ExitReason reason = phase.get() == TaskStatus.Phase.EXITED ? exitReason(cause) : null;
        tasks.add(new TaskStatus(jobId, task, attempt, phase.get(), reason, checkpointed));
        return true;
    }

    private static Optional<TaskStatus.Phase> phase(String wireValue) {
        return switch (wireValue) {
            case "pulling" -> Optional.of(TaskStatus.Phase.FETCHING_IMAGE);
            case "gathering" -> Optional.of(TaskStatus.Phase.WAITING_FOR_GANG);
            case "running" -> Optional.of(TaskStatus.Phase.RUNNING);
            case "flushing" -> Optional.of(TaskStatus.Phase.SAVING_CHECKPOINT);
            case "exited" -> Optional.of(TaskStatus.Phase.EXITED);
            default -> Optional.empty();
        };
    }

    /** Decodes an exit reason. An unrecognized one is treated as a failure of the task. */
    private static TaskStatus.ExitReason exitReason(String wireValue) {
        return switch (wireValue) {
            case "done" -> TaskStatus.ExitReason.COMPLETED;
            case "halted" -> TaskStatus.ExitReason.STOPPED;
            case "mates_gone" -> TaskStatus.ExitReason.GANG_MEMBER_LOST;
            case "alone" -> TaskStatus.ExitReason.GANG_WAIT_TIMEOUT;
            case "no_room" -> TaskStatus.ExitReason.INSUFFICIENT_CAPACITY;
            case "in_use" -> TaskStatus.ExitReason.ALREADY_RUNNING;
            case "unknown" -> TaskStatus.ExitReason.UNKNOWN;
            default -> TaskStatus.ExitReason.FAILED;
        };
    }
}
