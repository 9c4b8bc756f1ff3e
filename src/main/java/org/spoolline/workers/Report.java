package org.spoolline.workers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.spoolline.net.Json;

/** A worker's check-in. {@code noticeS} is null, or the seconds until the cloud takes the machine. */
public record Report(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long tick,
        long token,
        Double noticeS,
        List<TaskReport> tasks) {

    /** Reads the wire form as it streams by, the most frequent request of all; null when it is not a check-in. */
    public static Report parse(byte[] body) {
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
        private final List<TaskReport> tasks = new ArrayList<>();

        Reading(JsonParser in) {
            this.in = in;
        }

        Report report() throws IOException {
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
                            TaskReport task = task();
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
                    : new Report(machine, address, type, zone, spot, session, tick, token, noticeS, tasks);
        }

        private TaskReport task() throws IOException {
            String slip = "";
            long attempt = 0;
            TaskReport.Phase phase = null;
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
                    : new TaskReport(
                            slip.substring(0, slash),
                            Integer.parseInt(slip.substring(slash + 1)),
                            attempt,
                            phase,
                            phase == TaskReport.Phase.EXITED ? cause(why) : null,
                            saved);
        }
    }

    /** A report with the larger session, or the larger tick within it, is the newer one. */
    public boolean newerThan(long otherSession, long otherTick) {
        return session > otherSession || session == otherSession && tick > otherTick;
    }

    private static TaskReport.Phase phase(String wire) {
        return switch (wire) {
            case "pulling" -> TaskReport.Phase.FETCHING;
            case "gathering" -> TaskReport.Phase.GATHERING;
            case "running" -> TaskReport.Phase.RUNNING;
            case "flushing" -> TaskReport.Phase.SAVING;
            case "exited" -> TaskReport.Phase.EXITED;
            default -> null;
        };
    }

    private static TaskReport.Cause cause(String wire) {
        return switch (wire) {
            case "done" -> TaskReport.Cause.DONE;
            case "halted" -> TaskReport.Cause.STOPPED;
            case "mates_gone" -> TaskReport.Cause.PEERS_GONE;
            case "alone" -> TaskReport.Cause.ALONE;
            case "no_room" -> TaskReport.Cause.NO_ROOM;
            case "in_use" -> TaskReport.Cause.BUSY;
            case "unknown" -> TaskReport.Cause.UNKNOWN;
            default -> TaskReport.Cause.ERROR;
        };
    }
}
