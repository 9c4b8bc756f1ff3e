package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;

/** What is kept of a job that is over, for ever. */
public record TerminalRecord(boolean done, int completedTasks) {
    public static TerminalRecord of(Pipeline over) {
        return new TerminalRecord(over.succeeded(), over.completedTasks());
    }

    public ObjectNode encode() {
        return Json.object().put("end", done ? "done" : "aborted").put("done", completedTasks);
    }

    public static TerminalRecord decode(JsonNode stored) {
        return new TerminalRecord(
                "done".equals(stored.path("end").asText()), stored.path("done").asInt());
    }
}
