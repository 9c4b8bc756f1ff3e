package org.spoolline.pipeline;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/** A job's pipeline and its stored value. */
class PipelineTest {
    /** Body of a valid submission without dependencies. */
    static ObjectNode body(int tasks) {
        return Json.object()
                .put("uid", "run-000001")
                .put("lane", "train")
                .put("desk", "vision")
                .put("shape", "batch")
                .put("urgency", "urgent")
                .put("slips", tasks)
                .put("cores", 1.5)
                .put("accelerators", 0)
                .put("memGb", 2)
                .put("plate", "img")
                .put("imageGb", 1.0)
                .put("samePlace", false)
                .put("scatter", false)
                .put("standby", true)
                .put("expectS", 60)
                .put("bookmarkS", 0)
                .put("stashS", 0)
                .putNull("dueS")
                .putNull("yard")
                .putNull("builds");
    }

    private static Pipeline pipeline(int tasks) throws SubmissionCodec.Malformed {
        Submission spec = SubmissionCodec.parse(body(tasks));
        return Pipeline.accept(spec, SubmissionCodec.encode(spec), 1_000);
    }

    private static Pipeline encodeAndDecode(Pipeline pipeline) {
        return Pipeline.decode(Json.read(Json.bytes(pipeline.encode())));
    }

    /** A recursion over a damaged stored value would end every controller that reads it. */
    @Test
    void rejectsStoredFlowThatIsNestedTooDeep() throws Exception {
        int levels = 20_000;
        for (String opening : List.of("[\"s\",", "[\"o\",", "[\"k\",\"j\",")) {
            ObjectNode value = Json.object();
            String flow = opening.repeat(levels) + "[\"e\"]" + "]".repeat(levels);
            value.putArray("b")
                    .addArray()
                    .add(Json.read(flow.getBytes(UTF_8)))
                    .add(Json.array())
                    .add(Json.array());
            assertThrows(IllegalArgumentException.class, () -> ContinuationStackCodec.decode(value));
        }
    }

    @Test
    void lastCompletedTaskMakesPipelineSucceed() throws Exception {
        Pipeline pipeline = pipeline(3);
        pipeline.completeTask(2);
        pipeline.completeTask(0);
        pipeline.completeTask(0);
        assertFalse(pipeline.succeeded());
        pipeline = encodeAndDecode(pipeline);
        assertEquals(2, pipeline.completedTasks());
        pipeline.completeTask(1);
        assertTrue(pipeline.succeeded());
        assertTrue(encodeAndDecode(pipeline).succeeded());
    }

    @Test
    void attemptsAndRetryStateRoundTrip() throws Exception {
        Pipeline pipeline = pipeline(10);
        long number = pipeline.nextAttemptNumber();
        for (int task : new int[] {0, 1, 2, 7}) {
            pipeline.addAttempt(new Attempt(task, number, "m-1", 4));
        }
        pipeline.recordTaskFailure("m-9", 50_000);
        Pipeline decoded = encodeAndDecode(pipeline);
        assertEquals(4, decoded.attempts().size());
        assertTrue(decoded.attempts().contains(new Attempt(7, number, "m-1", 4)));
        assertTrue(decoded.avoids("m-9"));
        assertEquals(pipeline.notBefore(), decoded.notBefore());
        assertEquals(6, decoded.unplacedTaskCount());
        // Tasks that have never started share a number; a task whose attempt was retired gets a higher one.
        assertEquals(number, decoded.nextAttemptNumber());
        decoded.retireAttempt(new Attempt(7, number, "m-1", 4));
        assertEquals(number + 1, decoded.nextAttemptNumber());
    }

    /**
     * Guards against placements of an array job over hundreds of machines being cut short because the job's value is
     * full.
     */
    @Test
    void arrayJobOnRandomMachinesFitsOneValue() throws Exception {
        SplittableRandom random = new SplittableRandom(2);
        Pipeline pipeline = pipeline(2_500);
        List<Attempt> placed = new ArrayList<>();
        for (int task = 0; task < 2_500; ) {
            String machine = String.format("m-%06d", 1_000 + random.nextInt(1_000));
            placed.add(new Attempt(task++, pipeline.nextAttemptNumber(), machine, 1 + random.nextInt(8) / 7));
        }
        placed.forEach(pipeline::addAttempt);
        Pipeline decoded = encodeAndDecode(pipeline);
        assertEquals(new HashSet<>(placed), new HashSet<>(decoded.attempts()));
        int bytes = Json.bytes(pipeline.encode()).length;
        assertTrue(bytes < 8 * 1024 * 0.85, bytes + " bytes");
    }

    @Test
    void anyMachineNameRoundTrips() throws Exception {
        Pipeline pipeline = pipeline(20);
        List<String> names =
                List.of("m-000231", "m-231", "m-0231", "plain", "7", "x-99999999999999999999", "\u0663-1", "m-000232");
        List<Attempt> placed = new ArrayList<>();
        for (int task = 0; task < 20; task++) {
            placed.add(new Attempt(task, 7 - task % 3, names.get(task % names.size()), 1L << 3 * task));
        }
        while (pipeline.nextAttemptNumber() < 7) {
            pipeline.retireAttempt(new Attempt(0, pipeline.nextAttemptNumber(), "m-1", 1));
        }
        placed.forEach(pipeline::addAttempt);
        assertEquals(
                new HashSet<>(placed), new HashSet<>(encodeAndDecode(pipeline).attempts()));
    }

    /** Guards against a leader of this version that can't read the jobs stored by the previous version. */
    @Test
    void decodesLegacyVersion() throws Exception {
        ObjectNode legacy = pipeline(10)
                .encode()
                .put("ver", Constants.Job.PIPELINE_VERSION_LEGACY)
                .put("n", 3);
        legacy.putArray("on").addArray().add("m-1").add(4).add(2).add("0-2,7");
        Pipeline decoded = Pipeline.decode(legacy);
        assertEquals(4, decoded.attempts().size());
        assertTrue(decoded.hasAttempt(new Attempt(7, 2, "m-1", 4)));
        assertThrows(IllegalArgumentException.class, () -> Pipeline.decode(legacy.put("ver", 99)));
    }

    @Test
    void taskFailuresNeverEndJob() throws Exception {
        Pipeline pipeline = pipeline(1);
        for (int i = 0; i < 20; i++) {
            pipeline.recordTaskFailure("m-" + i, 0);
        }
        assertFalse(encodeAndDecode(pipeline).succeeded());
        pipeline.completeTask(0);
        assertTrue(pipeline.succeeded());
    }

    @Test
    void maxTasksFitOneValueInWorstCompletionOrder() throws Exception {
        Pipeline pipeline = pipeline(100_000);
        SplittableRandom random = new SplittableRandom(1);
        int largestBytes = 0;
        while (!pipeline.succeeded()) {
            var unplaced = pipeline.unplacedTasks(5_000);
            for (int i = 0; i < unplaced.size(); i++) {
                // Odd tasks first: the worst case for an encoding of completed tasks as runs.
                if (unplaced.get(i) % 2 == 1 || random.nextInt(3) == 0 || unplaced.size() < 100) {
                    pipeline.completeTask(unplaced.get(i));
                }
            }
            largestBytes = Math.max(largestBytes, Json.bytes(pipeline.encode()).length);
        }
        assertTrue(largestBytes < 8 * 1024 / 2, "at most " + largestBytes + " bytes");
    }

    /** Guards against a gang whose last members are never placed, so that the others wait for them in vain. */
    @Test
    void joinWindowDoesNotLimitMembersOfGang() throws Exception {
        int tasks = Constants.Job.JOIN_WINDOW + 100;
        Submission gang = SubmissionCodec.parse(body(tasks).put("shape", "group"));
        assertEquals(
                tasks,
                Pipeline.accept(gang, SubmissionCodec.encode(gang), 0)
                        .unplacedTasks(tasks)
                        .size());
        assertEquals(
                Constants.Job.JOIN_WINDOW, pipeline(tasks).unplacedTasks(tasks).size());
    }

    @Test
    void malformedSubmissionErrorNamesField() {
        for (String field : new String[] {
            "uid",
            "lane",
            "desk",
            "shape",
            "urgency",
            "slips",
            "cores",
            "memGb",
            "plate",
            "imageGb",
            "samePlace",
            "scatter",
            "standby",
            "expectS",
            "bookmarkS",
            "stashS"
        }) {
            ObjectNode missing = body(1);
            missing.remove(field);
            assertEquals(
                    field,
                    assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(missing))
                            .getMessage());
            ObjectNode wrongType = body(1);
            wrongType.putArray(field);
            assertEquals(
                    field,
                    assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(wrongType))
                            .getMessage());
        }
        for (int slips : new int[] {0, -1, 100_001}) {
            assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(body(slips)));
        }
        assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(Json.array()));
    }

    @Test
    void nullableFieldsMayBeOmitted() throws Exception {
        ObjectNode withoutNullableFields = body(1);
        withoutNullableFields.remove(java.util.List.of("builds", "yard", "dueS"));
        assertEquals(SubmissionCodec.parse(body(1)), SubmissionCodec.parse(withoutNullableFields));
    }
}
