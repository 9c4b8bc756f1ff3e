package org.spoolline.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.spoolline.cluster.Machine;
import org.spoolline.net.Json;

/** Encodes machine requests to the cloud and parses its responses; the only class that uses their wire format. */
final class CloudCodec {
    /** Path of the request that acquires machines. */
    static final String ACQUIRE_PATH = "/rentals";
    /** Path of the request that releases machines. */
    static final String RELEASE_PATH = "/rentals/delete";

    private CloudCodec() {}

    /**
     * One machine in the cloud's machine list.
     *
     * @param heldMs ms since the machine was acquired
     * @param status the status that the cloud reports, as on the wire
     */
    record ListedMachine(String name, String type, String zone, boolean spot, long heldMs, String status) {
        /** Returns true if the machine has failed permanently. */
        boolean hasFailed() {
            return "failed".equals(status);
        }
    }

    /** One page of the cloud's machine list, ordered by name. */
    record ListPage(List<ListedMachine> machines, boolean hasNext) {}

    /**
     * Returns path and query of one page of the list: up to {@code limit} machines whose names follow {@code after}.
     */
    static String listPath(String after, int limit) {
        return "/rentals?after=" + after + "&most=" + limit;
    }

    /** Parses one page of the list. A malformed response yields an empty last page. */
    static ListPage parseList(byte[] reply) {
        JsonNode body = Json.read(reply);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonNode machine : body.path("spoolers")) {
            machines.add(new ListedMachine(
                    machine.path("uid").asText(),
                    machine.path("build").asText(),
                    machine.path("yard").asText(),
                    machine.path("standby").asBoolean(),
                    (long) (machine.path("heldS").asDouble() * 1000),
                    machine.path("status").asText()));
        }
        return new ListPage(machines, body.path("hasNext").asBoolean());
    }

    /**
     * Returns the body of a request that acquires machines.
     *
     * @param requestId makes the request idempotent: the cloud answers a retry with the same id without acquiring
     *     machines again
     */
    static byte[] acquireRequest(String requestId, ScaleOutPlanner.Offer offer, int count) {
        ObjectNode body = Json.object()
                .put("hire", requestId)
                .put("build", offer.type())
                .put("yard", offer.zone())
                .put("standby", offer.spot())
                .put("count", count);
        return Json.bytes(body);
    }

    /** Parses the names of the acquired machines; empty if the response is malformed. */
    static List<String> parseAcquired(byte[] reply) {
        List<String> names = new ArrayList<>();
        for (JsonNode name : Json.read(reply).path("spoolers")) {
            names.add(name.asText());
        }
        return names;
    }

    /** Returns the body of a request that releases machines. */
    static byte[] releaseRequest(List<Machine> machines) {
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("spoolers");
        for (Machine machine : machines) {
            names.add(machine.name());
        }
        return Json.bytes(body);
    }
}
