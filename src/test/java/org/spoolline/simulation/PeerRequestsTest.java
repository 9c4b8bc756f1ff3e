package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.codec.TreeCodec;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** What a node accepts from, and sends to, the other controllers is bounded. */
class PeerRequestsTest {
    private static final long HIGH_TOKEN = 1_000_000_000L;
    private static final int REQUESTS = 500;

    private static ControllerProcess process(Simulation simulation, String name) {
        return simulation.controllers.processes().stream()
                .filter(process -> process.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Names that are not configured would take memory without a bound, and their tokens would end leadership. */
    @Test
    void statusOfUnknownNodeIsIgnored() throws IOException {
        Simulation simulation = new Simulation(1);
        simulation.run(5);
        String leader = Workloads.leader(simulation);
        JsonNode token = simulation.store.value("token");
        JsonNode status = Json.object()
                .put("node", "odd")
                .put("token", HIGH_TOKEN)
                .put("state", true)
                .put("workers", true);
        byte[] body = new TreeCodec(new CBORFactory()).write(status);
        process(simulation, leader)
                .controller()
                .servePeer(new Http.Request("POST", "/status", "", body), response -> {});
        simulation.run(20);
        assertEquals(leader, simulation.leader());
        assertEquals(token, simulation.store.value("token"));
    }

    /** Each forwarded request takes a socket; a crowd of users must not take those for the peers and the store. */
    @Test
    void forwardedRequestsInFlightAreBounded() {
        Simulation simulation = new Simulation(1);
        simulation.run(5);
        simulation.network.setLink("node-1", Network.KEY_VALUE_STORE, LinkState.LOST);
        simulation.run(10);
        List<Integer> statuses = new ArrayList<>();
        Http.Request poll = new Http.Request("GET", "/submissions/run-99", "", new byte[0]);
        for (int i = 0; i < REQUESTS; i++) {
            process(simulation, "node-1").controller().serve(poll, response -> statuses.add(response.status()));
        }
        simulation.run(10);
        assertEquals(REQUESTS, statuses.size());
        long forwarded = statuses.stream().filter(status -> status == 404).count();
        assertTrue(forwarded > 0, "expected forwarded requests");
        assertTrue(forwarded <= simulation.settings("node-1").maxForwardedRequests(), "forwarded: " + forwarded);
    }
}
