package org.spoolline.world;

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
import org.spoolline.upgrade.ProductionForms;

/** One input that can't be used keeps nothing else from starting: stored values, machine types, heartbeats, peers. */
class MalformedInputTest {
    private static final List<String> ODD_VALUES =
            List.of("null", "true", "-1", "1e300", "\"odd\"", "[]", "[null]", "{}", "{\"odd\":[1,{}]}");

    /** A proper job begins and ends in time on a world in which something is malformed. */
    private static void otherWorkIsServed(World world, String what) {
        world.run(3);
        Users.Job job = world.users.submit(Days.jobOf(world, 0));
        world.run(110);
        assertEquals("done", job.status(), what);
        assertEquals(List.of(), world.rules.broken(), what);
    }

    /** Each field of a stored job in turn is missing or odd; a leader finds all of these values at once. */
    @Test
    void storedValuesThatCannotBeUsedKeepNoOtherJobFromStarting() {
        World world = new World(5);
        int count = 0;
        for (String form : List.of("accepted.json", "wide.json")) {
            for (JsonNode malformed : malformedCopies(Json.read(ProductionForms.bytes(form)))) {
                String uid = "run-77" + count++;
                JsonNode submission = malformed.path("job");
                if (submission.path("uid").asText().startsWith("run-")) {
                    // Of the other team, whose limit bounds what they take of the machines.
                    ((ObjectNode) submission).put("uid", uid).put("desk", "red");
                }
                world.state.put("job/" + uid, malformed);
            }
        }
        assertTrue(count > 300, "only " + count);
        otherWorkIsServed(world, "stored values");
    }

    /** Each cycle failed at such a value, so no leader started anything, whatever room there was. */
    @Test
    void aValueStoredUnderAnotherJobsNameKeepsNoOtherJobFromStarting() {
        World world = new World(9);
        world.state.put("job/run-771", Json.read(ProductionForms.bytes("accepted.json")));
        otherWorkIsServed(world, "a value under another name");
    }

    @Test
    void lastingRecordsThatCannotBeUsedKeepNoOtherJobFromStarting() {
        World world = new World(6);
        for (int i = 0; i < ODD_VALUES.size(); i++) {
            world.state.put("final/run-88" + i, read(ODD_VALUES.get(i)));
        }
        world.run(3);
        for (int i = 0; i < ODD_VALUES.size(); i++) {
            ObjectNode dependent =
                    Json.read(ProductionForms.bytes("accepted.json")).deepCopy();
            dependent.put("ver", 3);
            ObjectNode submission = (ObjectNode) dependent.path("job");
            submission.put("uid", "run-99" + i);
            submission.putArray("waitsOn").add("run-88" + i);
            world.state.put("job/run-99" + i, dependent);
        }
        otherWorkIsServed(world, "lasting records");
    }

    @Test
    void machineTypesThatCannotBeUsedKeepTheOthersInUse() {
        World world = new World(7);
        ObjectNode proper = Json.object()
                .put("name", "odd")
                .put("cores", 8)
                .put("accelerators", 0)
                .put("memGb", 64)
                .put("cacheGb", 20)
                .put("pullGbPerS", 1.0)
                .put("rate", 1.0)
                .put("spotPrice", 0.5)
                .put("startupS", 10);
        proper.putArray("yards").add("a");
        List<JsonNode> odd = new ArrayList<>(malformedCopies(proper));
        ODD_VALUES.forEach(value -> odd.add(read(value)));
        world.cloud.oddTypes = odd;
        otherWorkIsServed(world, "machine types");
    }

    /** Distorted heartbeats and words of peers reach every controller within half a second. */
    @Test
    void heartbeatsAndPeersThatCannotBeUsedKeepNoJobFromStarting() {
        World world = new World(8);
        world.run(3);
        String heartbeat = "{\"spooler\":\"m-000999\",\"addr\":\"m-000999:1\",\"build\":\"small\",\"yard\":\"a\","
                + "\"standby\":true,\"shift\":1,\"tick\":1,\"baton\":0,\"recallS\":null,\"slips\":[]}";
        for (JsonNode malformed : malformedCopies(Json.read(heartbeat.getBytes(StandardCharsets.UTF_8)))) {
            world.at(100, () -> toAll(world, "/checkin", Json.bytes(malformed)));
        }
        for (String value : ODD_VALUES) {
            world.at(200, () -> toAll(world, "/status", cbor(value)));
            world.at(300, () -> toAll(world, "/status", value.getBytes(StandardCharsets.UTF_8)));
            world.at(400, () -> toAll(world, "/forward", cbor(value)));
            world.at(500, () -> toAll(world, "/cancelled", cbor(value)));
        }
        otherWorkIsServed(world, "heartbeats and peers");
    }

    private static void toAll(World world, String path, byte[] body) {
        Http.Request request = new Http.Request("POST", path, "", body);
        for (World.Node node : world.nodes.values()) {
            Runnable serve = path.equals("/checkin")
                    ? () -> node.controller.serve(request, answer -> {})
                    : () -> node.controller.servePeer(request, answer -> {});
            try {
                serve.run();
            } catch (RuntimeException e) {
                // The server's guard answers 503 and logs it; what counts is what it does to others.
            }
        }
    }

    /** The tree with each of its fields, at any depth, left out or replaced by each odd value in turn. */
    private static List<JsonNode> malformedCopies(JsonNode proper) {
        List<JsonNode> copies = new ArrayList<>();
        collect(proper, proper, List.of(), copies);
        return copies;
    }

    private static void collect(JsonNode root, JsonNode at, List<String> path, List<JsonNode> copies) {
        for (Map.Entry<String, JsonNode> field : at.properties()) {
            JsonNode without = root.deepCopy();
            ((ObjectNode) follow(without, path)).remove(field.getKey());
            copies.add(without);
            for (String odd : ODD_VALUES) {
                JsonNode with = root.deepCopy();
                ((ObjectNode) follow(with, path)).set(field.getKey(), read(odd));
                copies.add(with);
            }
            List<String> inner = new ArrayList<>(path);
            inner.add(field.getKey());
            collect(root, field.getValue(), inner, copies);
        }
    }

    private static JsonNode follow(JsonNode root, List<String> path) {
        JsonNode at = root;
        for (String name : path) {
            at = at.path(name);
        }
        return at;
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
