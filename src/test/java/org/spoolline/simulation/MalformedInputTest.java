package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.spoolline.codec.TreeCodec;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.upgrade.ProductionSamples;

/** Malformed stored values, machine types, heartbeats and peer requests must not prevent other jobs from starting. */
class MalformedInputTest {
    private static final List<String> MALFORMED_VALUES =
            List.of("null", "true", "-1", "1e300", "\"odd\"", "[]", "[null]", "{}", "{\"odd\":[1,{}]}");

    /** Asserts that a valid job completes in time in a simulation with malformed input of the kind named. */
    private static void assertOtherJobCompletes(Simulation simulation, String input) {
        simulation.run(3);
        SimulatedJob job = simulation.users.submit(Workloads.mixedJob(simulation, 0));
        simulation.run(110);
        assertEquals("done", job.status(), input);
        assertEquals(List.of(), simulation.invariants.violations(), input);
    }

    /**
     * Stores many copies of production values, each with one field missing or malformed; the leader reads all of them
     * together.
     */
    @Test
    void malformedStoredJobsDoNotBlockOthers() {
        Simulation simulation = new Simulation(5);
        int count = 0;
        for (String form : List.of("accepted.json", "wide.json")) {
            for (JsonNode malformed : malformedCopies(Json.read(ProductionSamples.bytes(form)))) {
                String jobId = "run-77" + count++;
                JsonNode submission = malformed.path("job");
                if (submission.path("uid").asText().startsWith("run-")) {
                    // Assigns the copies to team red, whose quota bounds the machines that their tasks use.
                    ((ObjectNode) submission).put("uid", jobId).put("desk", "red");
                }
                simulation.store.put("job/" + jobId, malformed);
            }
        }
        assertTrue(count > 300, "expected more than 300 malformed values, got " + count);
        assertOtherJobCompletes(simulation, "stored values");
    }

    /** A value that is stored under the key of another job must not make the scheduling cycle fail. */
    @Test
    void jobStoredUnderAnotherKeyDoesNotBlockOthers() {
        Simulation simulation = new Simulation(9);
        simulation.store.put("job/run-771", Json.read(ProductionSamples.bytes("accepted.json")));
        assertOtherJobCompletes(simulation, "a value under the key of another job");
    }

    @Test
    void malformedTerminalRecordsDoNotBlockOthers() {
        Simulation simulation = new Simulation(6);
        for (int i = 0; i < MALFORMED_VALUES.size(); i++) {
            simulation.store.put("final/run-88" + i, read(MALFORMED_VALUES.get(i)));
        }
        simulation.run(3);
        for (int i = 0; i < MALFORMED_VALUES.size(); i++) {
            ObjectNode dependent =
                    Json.read(ProductionSamples.bytes("accepted.json")).deepCopy();
            dependent.put("ver", 3);
            ObjectNode submission = (ObjectNode) dependent.path("job");
            submission.put("uid", "run-99" + i);
            submission.putArray("waitsOn").add("run-88" + i);
            simulation.store.put("job/run-99" + i, dependent);
        }
        assertOtherJobCompletes(simulation, "terminal records");
    }

    @Test
    void malformedMachineTypesDoNotBlockOthers() {
        Simulation simulation = new Simulation(7);
        ObjectNode valid = Json.object()
                .put("name", "odd")
                .put("cores", 8)
                .put("accelerators", 0)
                .put("memGb", 64)
                .put("cacheGb", 20)
                .put("pullGbPerS", 1.0)
                .put("rate", 1.0)
                .put("spotPrice", 0.5)
                .put("startupS", 10);
        valid.putArray("yards").add("a");
        List<JsonNode> malformed = new ArrayList<>(malformedCopies(valid));
        MALFORMED_VALUES.forEach(value -> malformed.add(read(value)));
        simulation.cloud.malformedTypes = malformed;
        assertOtherJobCompletes(simulation, "machine types");
    }

    /** Every controller receives malformed heartbeats and peer requests within half a second. */
    @Test
    void malformedHeartbeatsAndPeerRequestsDoNotBlockOthers() {
        Simulation simulation = new Simulation(8);
        simulation.run(3);
        String heartbeat = "{\"spooler\":\"m-000999\",\"addr\":\"m-000999:1\",\"build\":\"small\",\"yard\":\"a\","
                + "\"standby\":true,\"shift\":1,\"tick\":1,\"baton\":0,\"recallS\":null,\"slips\":[]}";
        for (JsonNode malformed : malformedCopies(Json.read(heartbeat.getBytes(StandardCharsets.UTF_8)))) {
            simulation.at(100, () -> sendToAllControllers(simulation, "/checkin", Json.bytes(malformed)));
        }
        for (String value : MALFORMED_VALUES) {
            simulation.at(200, () -> sendToAllControllers(simulation, "/status", cbor(value)));
            simulation.at(
                    300, () -> sendToAllControllers(simulation, "/status", value.getBytes(StandardCharsets.UTF_8)));
            simulation.at(400, () -> sendToAllControllers(simulation, "/forward", cbor(value)));
            simulation.at(500, () -> sendToAllControllers(simulation, "/cancelled", cbor(value)));
        }
        assertOtherJobCompletes(simulation, "heartbeats and peers");
    }

    private static void sendToAllControllers(Simulation simulation, String path, byte[] body) {
        Http.Request request = new Http.Request("POST", path, "", body);
        for (ControllerProcess node : simulation.controllers.processes()) {
            Runnable serve = path.equals("/checkin")
                    ? () -> node.controller().serve(request, answer -> {})
                    : () -> node.controller().servePeer(request, answer -> {});
            try {
                serve.run();
            } catch (RuntimeException e) {
                // The HTTP server would catch the exception and answer 503; this test checks only that other jobs
                // complete.
            }
        }
    }

    /**
     * Returns copies of the tree in which one field, at any depth, is missing or replaced by a malformed value: one
     * copy for each field and each malformed value.
     */
    private static List<JsonNode> malformedCopies(JsonNode valid) {
        List<JsonNode> copies = new ArrayList<>();
        addMalformedCopies(valid, valid, List.of(), copies);
        return copies;
    }

    private static void addMalformedCopies(JsonNode root, JsonNode node, List<String> path, List<JsonNode> copies) {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            JsonNode withoutField = root.deepCopy();
            ((ObjectNode) nodeAt(withoutField, path)).remove(field.getKey());
            copies.add(withoutField);
            for (String malformed : MALFORMED_VALUES) {
                JsonNode withMalformedField = root.deepCopy();
                ((ObjectNode) nodeAt(withMalformedField, path)).set(field.getKey(), read(malformed));
                copies.add(withMalformedField);
            }
            List<String> innerPath = new ArrayList<>(path);
            innerPath.add(field.getKey());
            addMalformedCopies(root, field.getValue(), innerPath, copies);
        }
    }

    private static JsonNode nodeAt(JsonNode root, List<String> path) {
        JsonNode node = root;
        for (String name : path) {
            node = node.path(name);
        }
        return node;
    }

    private static byte[] cbor(String json) {
        try {
            return new TreeCodec(new CBORFactory()).write(read(json));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode read(String json) {
        return Json.read(json.getBytes(StandardCharsets.UTF_8));
    }
}
