package org.spoolline.worker;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.net.Json;

/** Reads heartbeats from their wire form: the only place that knows its field names. */
public final class HeartbeatCodec {
    private HeartbeatCodec() {}

    /** Reads the wire form as it streams by, the most frequent request of all; null when it is not a check-in. */
    public static Heartbeat parse(byte[] body) {
        try (JsonParser in = Json.parser(body)) {
            return in.nextToken() == JsonToken.START_OBJECT ? new Reading(in).report() : null;
        } catch (IOException | NumberFormatException e) {
            return null;
        }
    }

    /** The fields of one check-in, as far as they have come. */
    private static final class Reading {
        private final JsonParser in;
        private String machine = "";
        private String address = "";
        private String type = "";
        private String zone = "";
        private boolean spot;
        private long session = -1;
        private long tick = -1;
        private long token;
        private Double noticeS;
        private final List<TaskStatus> tasks = new ArrayList<>();

        Reading(JsonParser in) {
            this.in = in;
        }

        Heartbeat report() throws IOException {
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                JsonToken value = in.nextToken();
                switch (field) {
                    case "spooler" -> machine = in.getValueAsString("");
                    case "addr" -> address = in.getValueAsString("");
                    case "build" -> type = in.getValueAsString("");
                    case "yard" -> zone = in.getValueAsString("");
                    case "standby" -> spot = in.getValueAsBoolean();
                    case "shift" -> session = in.getValueAsLong(-1);
                    case "tick" -> tick = in.getValueAsLong(-1);
                    case "baton" -> token = in.getValueAsLong();
                    case "recallS" -> noticeS =
                            value == JsonToken.VALUE_NULL ? null : Double.valueOf(in.getValueAsDouble());
                    case "slips" -> {
                        while (in.nextToken() == JsonToken.START_OBJECT) {
                            TaskStatus task = task();
                            if (task == null) {
                                return null;
                            }
                            tasks.add(task);
                        }
                    }
                    default -> in.skipChildren();
                }
            }
            return machine.isEmpty() || session < 0 || tick < 0 || in.currentToken() != JsonToken.END_OBJECT
                    ? null
                    : new Heartbeat(machine, address, type, zone, spot, session, tick, token, noticeS, tasks);
        }

        private TaskStatus task() throws IOException {
            String slip = "";
            long attempt = 0;
            TaskStatus.Phase phase = null;
            String why = "";
            boolean saved = false;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                in.nextToken();
                switch (field) {
                    case "slip" -> slip = in.getValueAsString("");
                    case "try" -> attempt = in.getValueAsLong();
                    case "status" -> phase = phase(in.getValueAsString(""));
                    case "cause" -> why = in.getValueAsString("");
                    case "kept" -> saved = in.getValueAsBoolean();
                    default -> in.skipChildren();
                }
            }
            int slash = slip.lastIndexOf('/');
            return slash < 0 || phase == null
                    ? null
                    : new TaskStatus(
                            slip.substring(0, slash),
                            Integer.parseInt(slip.substring(slash + 1)),
                            attempt,
                            phase,
                            phase == TaskStatus.Phase.EXITED ? cause(why) : null,
                            saved);
        }
    }

    private static TaskStatus.Phase phase(String wire) {
        return switch (wire) {
            case "pulling" -> TaskStatus.Phase.FETCHING_IMAGE;
            case "gathering" -> TaskStatus.Phase.WAITING_FOR_GANG;
            case "running" -> TaskStatus.Phase.RUNNING;
            case "flushing" -> TaskStatus.Phase.SAVING_CHECKPOINT;
            case "exited" -> TaskStatus.Phase.EXITED;
            default -> null;
        };
    }

    private static TaskStatus.ExitReason cause(String wire) {
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
