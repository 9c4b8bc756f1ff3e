package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;

/**
 * The record that the key-value store keeps permanently of a job in a terminal state. Earlier and later software
 * versions read the stored form too, so its fields must not change.
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

    /**
     * Decodes a stored form. A malformed one is decoded as the record of a cancelled job, so that a read never fails.
     */
    public static TerminalRecord decode(JsonNode stored) {
        boolean done = OUTCOME_DONE.equals(stored.path(OUTCOME).asText());
        return new TerminalRecord(done, stored.path(COMPLETED_TASKS).asInt());
    }
}
