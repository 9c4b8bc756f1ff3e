package org.spoolline.intake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;

/** What is kept of a job that is over, for ever. */
public record FinalRecord(boolean done, int doneTasks) {
    public static FinalRecord of(Pipeline over) {
        return new FinalRecord(over.finished(), over.doneCount());
    }

    public ObjectNode encode() {
        return Json.object().put("end", done ? "done" : "aborted").put("done", doneTasks);
    }

    public static FinalRecord decode(JsonNode stored) {
        return new FinalRecord(
                "done".equals(stored.path("end").asText()), stored.path("done").asInt());
    }
}
