package org.spoolline.pipeline;

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

/** A job as one stored value. */
class PipelineTest {
    /** A submission's body, without dependencies. */
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

    private static Pipeline stored(Pipeline p) {
        return Pipeline.decode(Json.read(Json.bytes(p.encode())));
    }

    @Test
    void theLastTaskPopsTheStackAndMakesItDone() throws Exception {
        Pipeline p = pipeline(3);
        p.completeTask(2);
        p.completeTask(0);
        p.completeTask(0);
        assertFalse(p.succeeded());
        p = stored(p);
        assertEquals(2, p.completedTasks());
        p.completeTask(1);
        assertTrue(p.succeeded());
        assertTrue(stored(p).succeeded());
    }

    @Test
    void attemptsAndRetriesSurviveTheStore() throws Exception {
        Pipeline p = pipeline(10);
        long number = p.nextAttemptNumber();
        for (int task : new int[] {0, 1, 2, 7}) {
            p.addAttempt(new Attempt(task, number, "m-1", 4));
        }
        p.recordTaskFailure("m-9", 50_000);
        Pipeline q = stored(p);
        assertEquals(4, q.attempts().size());
        assertTrue(q.attempts().contains(new Attempt(7, number, "m-1", 4)));
        assertTrue(q.avoids("m-9"));
        assertEquals(p.notBefore(), q.notBefore());
        assertEquals(6, q.unplacedTaskCount());
        // Tasks that never started may share a number; one that has been lost gets a higher one.
        assertEquals(number, q.nextAttemptNumber());
        q.loseAttempt(new Attempt(7, number, "m-1", 4));
        assertEquals(number + 1, q.nextAttemptNumber());
    }

    /** An array over hundreds of machines once had its placements cut short because its value was full. */
    @Test
    void theWidestArraysFitOneValueWhateverTheirTasksOrder() throws Exception {
        SplittableRandom random = new SplittableRandom(2);
        Pipeline p = pipeline(2_500);
        List<Attempt> placed = new ArrayList<>();
        for (int task = 0; task < 2_500; ) {
            String machine = String.format("m-%06d", 1_000 + random.nextInt(1_000));
            placed.add(new Attempt(task++, p.nextAttemptNumber(), machine, 1 + random.nextInt(8) / 7));
        }
        placed.forEach(p::addAttempt);
        Pipeline q = stored(p);
        assertEquals(new HashSet<>(placed), new HashSet<>(q.attempts()));
        int bytes = Json.bytes(p.encode()).length;
        assertTrue(bytes < 8 * 1024 * Constants.Job.VALUE_FILL, bytes + " bytes");
    }

    @Test
    void machinesOfAnyNameSurviveTheStore() throws Exception {
        Pipeline p = pipeline(20);
        List<String> names =
                List.of("m-000231", "m-231", "m-0231", "plain", "7", "x-99999999999999999999", "\u0663-1", "m-000232");
        List<Attempt> placed = new ArrayList<>();
        for (int task = 0; task < 20; task++) {
            placed.add(new Attempt(task, 7 - task % 3, names.get(task % names.size()), 1L << 3 * task));
        }
        while (p.nextAttemptNumber() < 7) {
            p.loseAttempt(new Attempt(0, p.nextAttemptNumber(), "m-1", 1));
        }
        placed.forEach(p::addAttempt);
        assertEquals(new HashSet<>(placed), new HashSet<>(stored(p).attempts()));
    }

    /** A leader of this version takes over jobs that one of the version before has stored. */
    @Test
    void valuesOfTheLegacyVersionAreRead() throws Exception {
        ObjectNode old = pipeline(10)
                .encode()
                .put("ver", Constants.Job.PIPELINE_VERSION_LEGACY)
                .put("n", 3);
        old.putArray("on").addArray().add("m-1").add(4).add(2).add("0-2,7");
        Pipeline q = Pipeline.decode(old);
        assertEquals(4, q.attempts().size());
        assertTrue(q.hasAttempt(new Attempt(7, 2, "m-1", 4)));
        assertThrows(IllegalArgumentException.class, () -> Pipeline.decode(old.put("ver", 99)));
    }

    @Test
    void aFailureNeverEndsAUsersJob() throws Exception {
        Pipeline p = pipeline(1);
        for (int i = 0; i < 20; i++) {
            p.recordTaskFailure("m-" + i, 0);
        }
        assertFalse(stored(p).succeeded());
        p.completeTask(0);
        assertTrue(p.succeeded());
    }

    @Test
    void aHundredThousandTasksFitOneValueInTheWorstOrder() throws Exception {
        Pipeline p = pipeline(100_000);
        SplittableRandom random = new SplittableRandom(1);
        int largest = 0;
        while (!p.succeeded()) {
            var ready = p.unplacedTasks(5_000);
            for (int i = 0; i < ready.size(); i++) {
                // Odd tasks first: the worst case for runs of done tasks.
                if (ready.get(i) % 2 == 1 || random.nextInt(3) == 0 || ready.size() < 100) {
                    p.completeTask(ready.get(i));
                }
            }
            largest = Math.max(largest, Json.bytes(p.encode()).length);
        }
        assertTrue(largest < 8 * 1024 / 2, "at most " + largest + " bytes");
    }

    @Test
    void malformedSubmissionsNameTheirField() {
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
            ObjectNode wrong = body(1);
            wrong.putArray(field);
            assertEquals(
                    field,
                    assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(wrong))
                            .getMessage());
        }
        for (int slips : new int[] {0, -1, 100_001}) {
            assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(body(slips)));
        }
        assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(Json.array()));
    }

    @Test
    void fieldsThatMayBeNullMayBeLeftOut() throws Exception {
        ObjectNode short1 = body(1);
        short1.remove(java.util.List.of("builds", "yard", "dueS"));
        assertEquals(SubmissionCodec.parse(body(1)), SubmissionCodec.parse(short1));
    }
}
