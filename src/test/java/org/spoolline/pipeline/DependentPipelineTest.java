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

/** A job that waits for others, as one stored value. */
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

    private static Pipeline stored(Pipeline p) {
        return Pipeline.decode(Json.read(Json.bytes(p.encode())));
    }

    @Test
    void itWaitsUntilItsDependenciesAreSatisfiedAndThenIsAnOrdinaryJob() throws Exception {
        Pipeline p = stored(accepted(2, "run-000001", "run-000002", "run-000001"));
        assertEquals(List.of("run-000001", "run-000002"), p.spec().dependencies());
        assertTrue(p.hasUnsatisfiedDependencies());
        assertFalse(p.succeeded());
        p.satisfyDependencies(61_000);
        p = stored(p);
        assertFalse(p.hasUnsatisfiedDependencies());
        assertEquals(1_000, p.submittedAt());
        assertEquals(61_000, p.eligibleAt());
        assertEquals(2, p.unplacedTaskCount());
        p.completeTask(0);
        p.completeTask(1);
        assertTrue(stored(p).succeeded());
    }

    @Test
    void aCancelledDependencyCancelsIt() throws Exception {
        Pipeline p = accepted(2, "run-000001", "run-000002");
        p.cancelWithDependency("run-000002");
        assertTrue(p.cancelledWithoutAttempts());
        assertFalse(p.succeeded());
        assertTrue(stored(p).cancelled());
    }

    @Test
    void aCancelledJobWithUnlistedAttemptsKeepsTheirNumber() throws Exception {
        Pipeline p = accepted(3);
        long number = p.nextAttemptNumber();
        p.addAttempt(new Attempt(0, number, "m-000001", 1));
        p.addAttempt(new Attempt(1, number, "m-000002", 1));
        p.cancelWithUnlistedAttempts();
        p = stored(p);
        assertTrue(p.cancelled());
        assertEquals(2, p.unlistedAttempts());
        assertFalse(p.cancelledWithoutAttempts());
        assertFalse(p.hasUnsatisfiedDependencies());
        p.clearUnlistedAttempts();
        assertTrue(p.cancelledWithoutAttempts());
    }

    /** A value that was filled up once grew past its limit as tasks ended from the last to the first. */
    @Test
    void endsInAnyOrderNeverGrowTheValueBeyondTheGrowthOfItsJoin() throws Exception {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            Pipeline p = accepted(1_200);
            long number = p.nextAttemptNumber();
            List<Attempt> open = new ArrayList<>();
            for (int task = 0; task < 1_200; task++) {
                int machine = seed % 2 == 0 ? task / 8 : random.nextInt(200);
                Attempt attempt = new Attempt(task, number, String.format("m-%06d", machine), 1);
                p.addAttempt(attempt);
                open.add(attempt);
            }
            int most = Json.bytes(p.encode()).length + p.joinGrowthBytes() + 200;
            if (seed % 4 < 2) {
                Collections.shuffle(open, random);
            } else {
                Collections.reverse(open);
            }
            for (Attempt attempt : open) {
                p.completeAttempt(attempt);
                assertTrue(Json.bytes(p.encode()).length <= most, "seed " + seed + ", task " + attempt.task());
            }
            assertTrue(p.succeeded());
        }
    }

    @Test
    void aListOfDependenciesThatIsNoneIsRefused() throws Exception {
        for (ObjectNode bad : List.of(
                body(1).put("waitsOn", "run-000001"),
                body(1).put("waitsOn", 7),
                body(1, "m-000001"),
                body(1, "run-1x"))) {
            assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(bad));
        }
        ObjectNode noText = body(1);
        noText.putArray("waitsOn").add(7);
        assertThrows(SubmissionCodec.Malformed.class, () -> SubmissionCodec.parse(noText));
        for (ObjectNode none : List.of(body(1), body(1).putNull("waitsOn"), body(1).without("waitsOn"))) {
            assertEquals(List.of(), SubmissionCodec.parse(none).dependencies());
        }
    }

    @Test
    void aDamagedValueIsRefused() throws Exception {
        ObjectNode value = accepted(1, "run-000001").encode();
        ((ObjectNode) value.path("job")).remove("waitsOn");
        assertThrows(IllegalArgumentException.class, () -> Pipeline.decode(value));
    }
}
