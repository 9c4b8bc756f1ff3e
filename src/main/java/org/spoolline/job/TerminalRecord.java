package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;

/**
 * What the key-value store keeps of a job in a terminal state, for ever. Earlier and later versions read the stored form
 * too: its fields stay as they are.
 *
 * @param done           true if all tasks completed, false if the job was cancelled
 * @param completedTasks the number of tasks that completed
 */
public record TerminalRecord(boolean done, int completedTasks) {
    private static final String OUTCOME = "end";
    private static final String OUTCOME_DONE = "done";
    private static final String OUTCOME_CANCELLED = "aborted";
    private static final String COMPLETED_TASKS = "done";

    /** The record of a pipeline in a terminal state. */
    public static TerminalRecord of(Pipeline terminal) {
        return new TerminalRecord(terminal.succeeded(), terminal.completedTasks());
    }

    /** The stored form. */
    public ObjectNode encode() {
        return Json.object()
                .put(OUTCOME, done ? OUTCOME_DONE : OUTCOME_CANCELLED)
                .put(COMPLETED_TASKS, completedTasks);
    }

    /** Reads a stored form. One that is malformed reads as the record of a cancelled job, so that no read fails. */
    public static TerminalRecord decode(JsonNode stored) {
        boolean done = OUTCOME_DONE.equals(stored.path(OUTCOME).asText());
        return new TerminalRecord(done, stored.path(COMPLETED_TASKS).asInt());
    }
}
