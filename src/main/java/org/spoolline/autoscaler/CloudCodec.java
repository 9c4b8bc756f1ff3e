package org.spoolline.autoscaler;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.spoolline.cluster.Machine;
import org.spoolline.net.Json;

/** Writes requests about machines to the cloud and reads its replies: the only class that knows their wire form. */
final class CloudCodec {
    /** Path of the request that acquires machines. */
    static final String ACQUIRE_PATH = "/rentals";
    /** Path of the request that releases machines. */
    static final String RELEASE_PATH = "/rentals/delete";

    private CloudCodec() {}

    /**
     * One machine of the cloud's list.
     *
     * @param heldMs ms since it was acquired
     * @param status the cloud's status of the machine, as on the wire
     */
    record ListedMachine(String name, String type, String zone, boolean spot, long heldMs, String status) {
        /** True when the machine has failed and will never run again. */
        boolean hasFailed() {
            return "failed".equals(status);
        }
    }

    /** One page of the cloud's list, ordered by name. */
    record ListPage(List<ListedMachine> machines, boolean hasNext) {}

    /** Path and query of one page of the list: up to {@code limit} machines with names after the given one. */
    static String listPath(String after, int limit) {
        return "/rentals?after=" + after + "&most=" + limit;
    }

    /** Reads one page of the list. */
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
     * Body of a request that acquires machines.
     *
     * @param requestId makes the request idempotent: the cloud answers a repetition without acquiring anything
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

    /** Names of the machines that a request acquired. */
    static List<String> parseAcquired(byte[] reply) {
        List<String> names = new ArrayList<>();
        for (JsonNode name : Json.read(reply).path("spoolers")) {
            names.add(name.asText());
        }
        return names;
    }

    /** Body of a request that releases machines. */
    static byte[] releaseRequest(List<Machine> machines) {
        ObjectNode body = Json.object();
        ArrayNode names = body.putArray("spoolers");
        for (Machine machine : machines) {
            names.add(machine.name());
        }
        return Json.bytes(body);
    }
}
