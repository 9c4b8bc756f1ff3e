package org.spoolline.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.net.Json;

/**
 * Reads heartbeats from their wire form. With {@link HeartbeatResponseCodec} it is the only place that knows the
 * workers' field names. It reads the tokens as they come, without a tree: heartbeats are the most frequent requests. An
 * instance holds the fields of one heartbeat, as far as they are read.
 */
final class HeartbeatCodec {
    private final JsonParser in;
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

    private HeartbeatCodec(JsonParser in) {
        this.in = in;
    }

    /** The heartbeat, or empty when the bytes are none. Unknown fields are skipped. */
    static Optional<Heartbeat> decode(byte[] body) {
        try (JsonParser in = Json.parser(body)) {
            return in.nextToken() == JsonToken.START_OBJECT ? new HeartbeatCodec(in).read() : Optional.empty();
        } catch (IOException | NumberFormatException e) {
            return Optional.empty();
        }
    }

    private Optional<Heartbeat> read() throws IOException {
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            JsonToken value = in.nextToken();
            if (!readField(field, value)) {
                return Optional.empty();
            }
        }
        boolean complete =
                !machine.isEmpty() && incarnation >= 0 && number >= 0 && in.currentToken() == JsonToken.END_OBJECT;
        return complete
                ? Optional.of(new Heartbeat(
                        machine, address, type, zone, spot, incarnation, number, token, interruptionNoticeS, tasks))
                : Optional.empty();
    }

    /** Reads the value at which the parser stands; false when it makes the whole no heartbeat. */
    private boolean readField(String field, JsonToken value) throws IOException {
        switch (field) {
            case "spooler" -> machine = in.getValueAsString("");
            case "addr" -> address = in.getValueAsString("");
            case "build" -> type = in.getValueAsString("");
            case "yard" -> zone = in.getValueAsString("");
            case "standby" -> spot = in.getValueAsBoolean();
            case "shift" -> incarnation = in.getValueAsLong(-1);
            case "tick" -> number = in.getValueAsLong(-1);
            case "baton" -> token = in.getValueAsLong();
            case "recallS" -> interruptionNoticeS =
                    value == JsonToken.VALUE_NULL ? OptionalDouble.empty() : OptionalDouble.of(in.getValueAsDouble());
            case "slips" -> {
                return readTasks();
            }
            default -> in.skipChildren();
        }
        return true;
    }

    /** Reads task objects up to anything else; false when one of them is no task. */
    private boolean readTasks() throws IOException {
        while (in.nextToken() == JsonToken.START_OBJECT) {
            if (!readTask()) {
                return false;
            }
        }
        return true;
    }

    private boolean readTask() throws IOException {
        String id = "";
        long attempt = 0;
        String status = "";
        String cause = "";
        boolean checkpointed = false;
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String field = in.currentName();
            in.nextToken();
            switch (field) {
                case "slip" -> id = in.getValueAsString("");
                case "try" -> attempt = in.getValueAsLong();
                case "status" -> status = in.getValueAsString("");
                case "cause" -> cause = in.getValueAsString("");
                case "kept" -> checkpointed = in.getValueAsBoolean();
                default -> in.skipChildren();
            }
        }
        int slash = id.lastIndexOf('/');
        Optional<TaskStatus.Phase> phase = phase(status);
        if (slash < 0 || phase.isEmpty()) {
            return false;
        }
        String jobId = id.substring(0, slash);
        int task = Integer.parseInt(id.substring(slash + 1));
        TaskStatus.ExitReason reason = phase.get() == TaskStatus.Phase.EXITED ? exitReason(cause) : null;
        tasks.add(new TaskStatus(jobId, task, attempt, phase.get(), reason, checkpointed));
        return true;
    }

    private static Optional<TaskStatus.Phase> phase(String wire) {
        return switch (wire) {
            case "pulling" -> Optional.of(TaskStatus.Phase.FETCHING_IMAGE);
            case "gathering" -> Optional.of(TaskStatus.Phase.WAITING_FOR_GANG);
            case "running" -> Optional.of(TaskStatus.Phase.RUNNING);
            case "flushing" -> Optional.of(TaskStatus.Phase.SAVING_CHECKPOINT);
            case "exited" -> Optional.of(TaskStatus.Phase.EXITED);
            default -> Optional.empty();
        };
    }

    /** A reason that is unknown here counts as a failure of the task. */
    private static TaskStatus.ExitReason exitReason(String wire) {
        return switch (wire) {
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
