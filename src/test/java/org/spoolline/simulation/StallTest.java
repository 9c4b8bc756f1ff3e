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

/** What operators read of a service that starts nothing, and that it starts again. */
class StallTest {
    /** Waiting jobs begin so many seconds after the last trouble: an election, a boot, a fetch and a refused offer. */
    private static final double STARTS_WITHIN_S = 75;

    /** A day on which no task was started left nothing that told what each controller knew. */
    @Test
    void theLeaderOfACloudWithoutMachinesTellsWhyNothingStarts() {
        Simulation simulation = new Simulation(3);
        simulation.cloud.capacity = 0;
        simulation.run(5);
        simulation.users.submit(Workloads.jobOf(simulation, 0));
        simulation.run(60);
        JsonNode status = counters(simulation, Workloads.leader(simulation));
        assertTrue(status.path("leads").asBoolean(), status.toString());
        assertTrue(status.path("stalled").asText().contains("NO_SCHEDULABLE_MACHINE"), status.toString());
        assertEquals(0, status.path("counts").path("task_placed").asLong());
        assertTrue(status.path("counts").path("cycle_completed").asLong() > 10, status.toString());
    }

    @Test
    void aLeaderThatServesIsNotStalledAndCountsItsStarts() {
        Simulation simulation = new Simulation(4);
        simulation.run(5);
        simulation.users.submit(Workloads.jobOf(simulation, 0));
        simulation.run(60);
        JsonNode status = counters(simulation, Workloads.leader(simulation));
        assertTrue(status.path("stalled").isNull(), status.toString());
        assertEquals(12, status.path("counts").path("launch_ordered").asLong());
        assertEquals(1, status.path("counts").path("election_won").asLong());
    }

    /** Whatever came before, tasks start in bounded time after the last trouble. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void theFirstTaskStartsInBoundedTimeAfterTroublesFromTheFirstSecond(int seed) {
        Simulation simulation = new Simulation(seed);
        double calmFromS = troubleFromTheStart(simulation, seed);
        for (int n = 0; n < 4; n++) {
            int job = n;
            simulation.at(500 + n * 3_000L, () -> simulation.users.submit(Workloads.jobOf(simulation, job)));
        }
        simulation.run(calmFromS);
        long startsBefore = simulation.invariants.starts();
        // What was submitted in the worst of it may have been given up by its user; this one comes in calm.
        simulation.users.submit(Workloads.jobOf(simulation, 0));
        simulation.run(STARTS_WITHIN_S);
        assertTrue(simulation.invariants.starts() > startsBefore, "seed " + seed + ": nothing started");
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
    }

    /** Outages, crashes and cuts that overlap from the first moment; the second at which the last one is over. */
    private static double troubleFromTheStart(Simulation simulation, int seed) {
        List<String> nodes = List.of("node-0", "node-1", "node-2");
        switch (seed % 6) {
            case 0 -> simulation.store.outage(40);
            case 1 -> {
                for (int crash = 0; crash < 5; crash++) {
                    simulation.at(crash * 8_000L, () -> nodes.forEach(node -> simulation.crashFor(node, 0.3)));
                }
            }
            case 2 -> {
                nodes.forEach(node -> simulation.cut(node, "cloud", Simulation.Cut.LOSE));
                simulation.at(40_000, () -> nodes.forEach(node -> simulation.cut(node, "cloud", Simulation.Cut.NONE)));
            }
            case 3 -> {
                simulation.cut("node-0", "state", Simulation.Cut.LOSE);
                simulation.cut("node-1", "state", Simulation.Cut.HOLD);
                simulation.at(40_000, () -> simulation.cut("node-0", "state", Simulation.Cut.NONE));
                simulation.at(40_000, () -> simulation.cut("node-1", "state", Simulation.Cut.NONE));
            }
            case 4 -> {
                nodes.forEach(node -> simulation.cut(Simulation.WORKERS, node, Simulation.Cut.LOSE));
                simulation.at(
                        40_000,
                        () -> nodes.forEach(node -> simulation.cut(Simulation.WORKERS, node, Simulation.Cut.NONE)));
            }
            default -> {
                simulation.store.outage(10);
                simulation.at(12_000, () -> nodes.forEach(node -> simulation.crashFor(node, 4)));
                simulation.at(18_000, () -> simulation.store.outage(20));
                simulation.at(39_000, () -> simulation.crashFor(Workloads.leader(simulation), 1));
            }
        }
        return 40;
    }

    private static JsonNode counters(Simulation simulation, String node) {
        List<Http.Response> answers = new ArrayList<>();
        Http.Request request = new Http.Request("GET", Controller.COUNTERS, "", new byte[0]);
        simulation.nodes.get(node).controller.servePeer(request, answers::add);
        assertEquals(200, answers.get(0).status());
        return Json.read(answers.get(0).body());
    }
}
