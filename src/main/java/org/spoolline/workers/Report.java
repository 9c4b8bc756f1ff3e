package org.spoolline.workers;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A worker's check-in. {@code noticeS} is null, or the seconds until the cloud takes the machine. */
public record Report(String machine, String address, String type, String zone, boolean spot, long session, long tick,
                     long token, Double noticeS, List<TaskReport> tasks) {

    /** Reads the wire form; null when it is not a check-in. */
    public static Report parse(JsonNode in) {
        String machine = in.path("spooler").asText("");
        if (machine.isEmpty() || !in.path("shift").isNumber() || !in.path("tick").isNumber()) {
            return null;
        }
        List<TaskReport> tasks = new ArrayList<>();
        for (JsonNode t : in.path("slips")) {
            String slip = t.path("slip").asText("");
            int slash = slip.lastIndexOf('/');
            TaskReport.Phase phase = phase(t.path("status").asText(""));
            if (slash < 0 || phase == null) {
                return null;
            }
            tasks.add(new TaskReport(slip.substring(0, slash), Integer.parseInt(slip.substring(slash + 1)),
                    t.path("try").asLong(), phase,
                    phase == TaskReport.Phase.EXITED ? cause(t.path("cause").asText("")) : null,
                    t.path("kept").asBoolean()));
        }
        JsonNode recall = in.path("recallS");
        return new Report(machine, in.path("addr").asText(""), in.path("build").asText(""),
                in.path("yard").asText(""), in.path("standby").asBoolean(), in.path("shift").asLong(),
                in.path("tick").asLong(), in.path("baton").asLong(),
                recall.isNumber() ? Double.valueOf(recall.asDouble()) : null, tasks);
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
