package org.spoolline.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Sends a running node the requests that ended controllers in incidents. */
class RecordedIncidentTest {
    private static final int RECORDED_BYTES = 60_000;
    private static final int RECORDED_REPETITIONS = 48;

    @Test
    void nestedSubmissionDoesNotEndTheProcess(@TempDir Path directory) throws Exception {
        String body = "{\"a\":".repeat(RECORDED_BYTES / 5);
        try (RunningNode node = RunningNode.start(directory, 300, "-XX:ThreadStackSize=256")) {
            for (int i = 0; i < RECORDED_REPETITIONS; i++) {
                assertEquals(400, node.status("POST", "/submissions", body));
            }
            assertTrue(node.counters().contains("\"submission_not_json\":" + RECORDED_REPETITIONS), node.counters());
            assertTrue(node.isAlive(), node.log());
        }
    }
}
