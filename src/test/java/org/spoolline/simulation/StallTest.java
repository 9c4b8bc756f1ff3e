package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.Controller;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** The counters that tell operators why no task starts, and the bound on the time until tasks start after faults. */
class StallTest {
    /**
     * Bound on the time from the last fault until waiting jobs start: an election, a machine boot, an image fetch and a
     * rejected scale-out request.
     */
    private static final double MAX_START_DELAY_S = 75;

    /** When no task starts because the cloud has no capacity, the counters give that reason. */
    @Test
    void stalledLeaderReportsTheReason() {
        Simulation simulation = new Simulation(3);
        simulation.cloud.capacity = 0;
        simulation.run(5);
        simulation.users.submit(Workloads.mixedJob(simulation, 0));
        simulation.run(60);
        JsonNode status = counters(simulation, Workloads.leader(simulation));
        assertTrue(status.path("leads").asBoolean(), status.toString());
        assertTrue(status.path("stalled").asText().contains("NO_SCHEDULABLE_MACHINE"), status.toString());
        assertEquals(0, status.path("counts").path("task_placed").asLong());
        assertTrue(status.path("counts").path("cycle_completed").asLong() > 10, status.toString());
    }

    @Test
    void servingLeaderIsNotStalledAndCountsLaunches() {
        Simulation simulation = new Simulation(4);
        simulation.run(5);
        simulation.users.submit(Workloads.mixedJob(simulation, 0));
        simulation.run(60);
        JsonNode status = counters(simulation, Workloads.leader(simulation));
        assertTrue(status.path("stalled").isNull(), status.toString());
        assertEquals(12, status.path("counts").path("launch_ordered").asLong());
        assertEquals(1, status.path("counts").path("election_won").asLong());
    }

    /** Tasks must start within a bounded time after the last fault, whichever faults were present since the start. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void tasksStartInBoundedTimeAfterEarlyFaults(int seed) {
        Simulation simulation = new Simulation(seed);
        double lastFaultEndsS = injectEarlyFaults(simulation, seed);
        for (int n = 0; n < 4; n++) {
            int job = n;
            simulation.at(500 + n * 3_000L, () -> simulation.users.submit(Workloads.mixedJob(simulation, job)));
        }
        simulation.run(lastFaultEndsS);
        long startsBefore = simulation.invariants.starts();
        // Earlier submissions may have failed because of the faults; this one is sent after the last fault.
        simulation.users.submit(Workloads.mixedJob(simulation, 0));
        simulation.run(MAX_START_DELAY_S);
        assertTrue(simulation.invariants.starts() > startsBefore, "seed " + seed + ": expected a task to start");
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    /**
     * Injects outages, crashes or partitions, depending on the seed, from the start of the simulation. Returns the
     * simulated time in seconds at which the last one ends.
     */
    private static double injectEarlyFaults(Simulation simulation, int seed) {
        List<String> nodes = Workloads.NODES;
        switch (seed % 6) {
            case 0 -> simulation.store.outage(40);
            case 1 -> {
                for (int crash = 0; crash < 5; crash++) {
                    simulation.at(
                            crash * 8_000L, () -> nodes.forEach(node -> simulation.controllers.crashFor(node, 0.3)));
                }
            }
            case 2 -> {
                nodes.forEach(node -> simulation.network.setLink(node, Network.CLOUD, LinkState.LOST));
                simulation.at(
                        40_000,
                        () -> nodes.forEach(
                                node -> simulation.network.setLink(node, Network.CLOUD, LinkState.CONNECTED)));
            }
            case 3 -> {
                simulation.network.setLink("node-0", Network.KEY_VALUE_STORE, LinkState.LOST);
                simulation.network.setLink("node-1", Network.KEY_VALUE_STORE, LinkState.DELAYED);
                simulation.at(
                        40_000,
                        () -> simulation.network.setLink("node-0", Network.KEY_VALUE_STORE, LinkState.CONNECTED));
                simulation.at(
                        40_000,
                        () -> simulation.network.setLink("node-1", Network.KEY_VALUE_STORE, LinkState.CONNECTED));
            }
            case 4 -> {
                nodes.forEach(node -> simulation.network.setLink(Network.WORKERS, node, LinkState.LOST));
                simulation.at(
                        40_000,
                        () -> nodes.forEach(
                                node -> simulation.network.setLink(Network.WORKERS, node, LinkState.CONNECTED)));
            }
            default -> {
                simulation.store.outage(10);
                simulation.at(12_000, () -> nodes.forEach(node -> simulation.controllers.crashFor(node, 4)));
                simulation.at(18_000, () -> simulation.store.outage(20));
                simulation.at(39_000, () -> simulation.controllers.crashFor(Workloads.leader(simulation), 1));
            }
        }
        return 40;
    }

    private static JsonNode counters(Simulation simulation, String node) {
        List<Http.Response> responses = new ArrayList<>();
        Http.Request request = new Http.Request("GET", Controller.COUNTERS_PATH, "", new byte[0]);
        simulation.controllers.controller(node).servePeer(request, responses::add);
        assertEquals(200, responses.get(0).status());
        return Json.read(responses.get(0).body());
    }
}
