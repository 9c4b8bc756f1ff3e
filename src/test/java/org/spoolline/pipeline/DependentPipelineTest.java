package org.spoolline.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Json;

/**  Stored values of jobs with dependencies and of cancelled jobs with unlisted attempts. */
class DependentPipelineTest {
    private static ObjectNode body(int tasks, String... dependencies) {
        ObjectNode body = PipelineTest.body(tasks).put("uid", "run-000009").put("dueS", 90);
        ArrayNode jobIds = body.putArray("waitsOn");
        for (String jobId : dependencies) {
            jobIds.add(jobId);
        }
        return body;
    }

    private static Pipeline accepted(int tasks, String... dependencies) throws SubmissionCodec.Malformed {
        Submission spec = SubmissionCodec.parse(body(tasks, dependencies));
        return Pipeline.accept(spec, SubmissionCodec.encode(spec), 1_000);
    }

    private static Pipeline encodeAndDecode(Pipeline pipeline) {
        return Pipeline.decode(Json.read(Json.bytes(pipeline.encode())));
    }

    @Test
    void waitsForDependenciesThenBecomesOrdinaryJob() throws Exception {
        Pipeline pipeline = encodeAndDecode(accepted(2, "run-000001", "run-000002", "run-000001"));
        assertEquals(List.of("run-000001", "run-000002"), pipeline.spec().dependencies());
        assertTrue(pipeline.hasUnsatisfiedDependencies());
        assertFalse(pipeline.succeeded());
        pipeline.satisfyDependencies(61_000);
        pipeline = encodeAndDecode(pipeline);
        assertFalse(pipeline.hasUnsatisfiedDependencies());
        assertEquals(1_000, pipeline.submittedAt());
        assertEquals(61_000, pipeline.eligibleAt());
        assertEquals(2, pipeline.unplacedTaskCount());
        pipeline.completeTask(0);
        pipeline.completeTask(1);
        assertTrue(encodeAndDecode(pipeline).succeeded());
    }

    @Test
    void cancelledDependencyCancelsJob() throws Exception {
        Pipeline pipeline = accepted(2, "run-000001", "run-000002");
        pipeline.cancelWithDependency("run-000002");
        assertTrue(pipeline.cancelledWithoutAttempts());
        assertFalse(pipeline.succeeded());
        assertTrue(encodeAndDecode(pipeline).cancelled());
    }

    @Test
    void cancelledJobKeepsCountOfUnlistedAttempts() throws Exception {
        Pipeline pipeline = accepted(3);
        long number = pipeline.nextAttemptNumber();
        pipeline.addAttempt(new Attempt(0, number, "m-000001", 1));
        pipeline.addAttempt(new Attempt(1, number, "m-000002", 1));
        pipeline.cancelWithUnlistedAttempts();
        pipeline = encodeAndDecode(pipeline);
        assertTrue(pipeline.cancelled());
        assertEquals(2, pipeline.unlistedAttempts());
        assertFalse(pipeline.cancelledWithoutAttempts());
        assertFalse(pipeline.hasUnsatisfiedDependencies());
        pipeline.clearUnlistedAttempts();
        assertTrue(pipeline.cancelledWithoutAttempts());
    }

    /**
     * Guards against a value that is within its limit when it is full of attempts and exceeds the limit while they
     * complete. This can happen when tasks complete from the last to the first, because the stored window of the join
     * grows meanwhile.
     */
    @Test
    void completionsInAnyOrderKeepValueWithinBound() throws Exception {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            Pipeline pipeline = accepted(1_200);
            long number = pipeline.nextAttemptNumber();
            List<Attempt> running = new ArrayList<>();
            for (int task = 0; task < 1_200; task++) {
                int machine = seed % 2 == 0 ? task / 8 : random.nextInt(200);
                Attempt attempt = new Attempt(task, number, String.format("m-%06d", machine), 1);
                pipeline.addAttempt(attempt);
                running.add(attempt);
            }
            int maxBytes = pipeline.maxStoredBytes();
            if (seed % 4 < 2) {
                Collections.shuffle(running, random);
            } else {
                Collections.reverse(running);
            }
            for (Attempt attempt : running) {
                pipeline.completeAttempt(attempt);
                assertTrue(
                        Json.bytes(pipeline.encode()).length <= maxBytes, "seed " + seed + ", task " + attempt.task());
            }
            assertTrue(pipeline.succeeded());
        }
    }

    @Test
    void rejectsMalformedDependencies() throws Exception {
        for (ObjectNode malformed : List.of(
                body(1).put("waitsOn", "run-000001"),
                body(1).put("waitsOn", 7),
                body(1, "m-000001"),
                body(1, "run-1x"))) {
            assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(malformed));
        }
        ObjectNode nonTextId = body(1);
        nonTextId.putArray("waitsOn").add(7);
        assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(nonTextId));
        for (ObjectNode withoutDependencies :
                List.of(body(1), body(1).putNull("waitsOn"), body(1).without("waitsOn"))) {
            assertEquals(List.of(), SubmissionCodec.parse(withoutDependencies).dependencies());
        }
    }

    @Test
    void rejectsDamagedValue() throws Exception {
        ObjectNode value = accepted(1, "run-000001").encode();
        ((ObjectNode) value.path("job")).remove("waitsOn");
        assertThrows(IllegalArgumentException.class, () -> Pipeline.decode(value));
    }
}
