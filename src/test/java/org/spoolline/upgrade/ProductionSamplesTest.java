package org.spoolline.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.spoolline.job.TerminalRecord;
import org.spoolline.net.Json;
import org.spoolline.peer.PeerCodec;
import org.spoolline.peer.PeerStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;

/**
 * Compatibility with the production version during a rolling upgrade: this version must read the values that production
 * wrote, and must write the values that production may read in the same form.
 */
class ProductionSamplesTest {
    private static JsonNode value(String name) {
        return Json.read(ProductionSamples.bytes(name));
    }

    @Test
    void encodesNewJobWithoutDependenciesAsProductionVersion() throws Exception {
        Submission job = SubmissionCodec.parse(value("accepted.json").path("job"));
        Pipeline accepted = Pipeline.accept(job, SubmissionCodec.encode(job), 1_700_000_000_000L);
        assertEquals(value("accepted.json"), Json.read(Json.bytes(accepted.encode())));
    }

    @Test
    void roundTripsWideValueWithAllAttempts() {
        Pipeline wide = Pipeline.decode(value("wide.json"));
        Set<String> decodedAttempts = new TreeSet<>();
        for (Attempt attempt : wide.attempts()) {
            decodedAttempts.add(
                    attempt.task() + " " + attempt.number() + " " + attempt.machine() + " " + attempt.incarnation());
        }
        Set<String> expected =
                new TreeSet<>(new String(ProductionSamples.bytes("wide-attempts.txt"), StandardCharsets.UTF_8)
                        .lines()
                        .toList());
        assertEquals(expected, decodedAttempts);
        assertEquals(215, wide.completedTasks());
        assertTrue(wide.avoids("m-000009"));
        assertEquals(value("wide.json"), Json.read(Json.bytes(wide.encode())));
    }

    @Test
    void roundTripsCancelledValue() {
        Pipeline cancelled = Pipeline.decode(value("wide-cancelled.json"));
        assertTrue(cancelled.cancelled());
        assertEquals(1285, cancelled.attempts().size());
        assertEquals(value("wide-cancelled.json"), Json.read(Json.bytes(cancelled.encode())));
    }

    @Test
    void decodesTerminalRecordsAndPeerStatus() {
        assertEquals(new TerminalRecord(true, 1800), TerminalRecord.decode(value("final-done.json")));
        assertEquals(new TerminalRecord(false, 3), TerminalRecord.decode(value("final-aborted.json")));
        assertEquals(
                Optional.of(new PeerStatus("spooler-1", 41, true, false)),
                PeerCodec.decodeStatus(ProductionSamples.bytes("peer-status.cbor")));
    }

    /** Fields that a later version has added are ignored, and are lost when this version rewrites the value. */
    @Test
    void ignoresUnknownFieldsOfStoredValue() {
        ObjectNode later = (ObjectNode) value("wide.json");
        later.put("later", 1);
        assertEquals(
                value("wide.json"), Json.read(Json.bytes(Pipeline.decode(later).encode())));
    }

    /**
     * Production does not support dependencies and rejects values of a version above 2. A job with unsatisfied
     * dependencies is therefore stored as version 3; as version 2, production would launch its tasks too early.
     */
    @Test
    void usesVersionUnknownToProductionOnlyForUnsatisfiedDependencies() throws Exception {
        ObjectNode body = value("accepted.json").path("job").deepCopy();
        body.putArray("waitsOn").add("run-000001").add("run-000002");
        Submission job = SubmissionCodec.parse(body);
        Pipeline waiting = Pipeline.accept(job, SubmissionCodec.encode(job), 5);
        assertEquals(3, waiting.encode().path("ver").asInt());
        waiting.satisfyDependencies(9);
        ObjectNode released = waiting.encode();
        assertEquals(2, released.path("ver").asInt());
        assertFalse(released.path("job").has("waitsOn"));
        assertEquals(value("accepted.json").path("k"), released.path("k"));
    }
}
