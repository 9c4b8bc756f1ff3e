package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
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
        World world = new World(3);
        world.cloud.capacity = 0;
        world.run(5);
        world.users.submit(Days.jobOf(world, 0));
        world.run(60);
        JsonNode status = counters(world, Days.leader(world));
        assertTrue(status.path("leads").asBoolean(), status.toString());
        assertTrue(status.path("stalled").asText().contains("NO_MACHINE_REPORTS"), status.toString());
        assertEquals(0, status.path("counts").path("task_placed").asLong());
        assertTrue(status.path("counts").path("cycle_completed").asLong() > 10, status.toString());
    }

    @Test
    void aLeaderThatServesIsNotStalledAndCountsItsStarts() {
        World world = new World(4);
        world.run(5);
        world.users.submit(Days.jobOf(world, 0));
        world.run(60);
        JsonNode status = counters(world, Days.leader(world));
        assertTrue(status.path("stalled").isNull(), status.toString());
        assertEquals(12, status.path("counts").path("launch_ordered").asLong());
        assertEquals(1, status.path("counts").path("election_won").asLong());
    }

    /** Whatever came before, tasks start in bounded time after the last trouble. */
    @Test
    void theFirstTaskStartsInBoundedTimeAfterTroublesFromTheFirstSecond() {
        for (int seed = 1; seed <= 3 * Days.SEEDS; seed++) {
            World world = new World(seed);
            double calmFromS = troubleFromTheStart(world, seed);
            for (int n = 0; n < 4; n++) {
                int job = n;
                world.at(500 + n * 3_000L, () -> world.users.submit(Days.jobOf(world, job)));
            }
            world.run(calmFromS);
            long startsBefore = world.rules.starts();
            // What was submitted in the worst of it may have been given up by its user; this one comes in calm.
            world.users.submit(Days.jobOf(world, 0));
            world.run(STARTS_WITHIN_S);
            assertTrue(world.rules.starts() > startsBefore, "seed " + seed + ": nothing started");
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
        }
    }

    /** Outages, crashes and cuts that overlap from the first moment; the second at which the last one is over. */
    private static double troubleFromTheStart(World world, int seed) {
        List<String> nodes = List.of("node-0", "node-1", "node-2");
        switch (seed % 6) {
            case 0 -> world.state.outage(40);
            case 1 -> {
                for (int crash = 0; crash < 5; crash++) {
                    world.at(crash * 8_000L, () -> nodes.forEach(node -> world.crashFor(node, 0.3)));
                }
            }
            case 2 -> {
                nodes.forEach(node -> world.cut(node, "cloud", World.Cut.LOSE));
                world.at(40_000, () -> nodes.forEach(node -> world.cut(node, "cloud", World.Cut.NONE)));
            }
            case 3 -> {
                world.cut("node-0", "state", World.Cut.LOSE);
                world.cut("node-1", "state", World.Cut.HOLD);
                world.at(40_000, () -> world.cut("node-0", "state", World.Cut.NONE));
                world.at(40_000, () -> world.cut("node-1", "state", World.Cut.NONE));
            }
            case 4 -> {
                nodes.forEach(node -> world.cut(World.WORKERS, node, World.Cut.LOSE));
                world.at(40_000, () -> nodes.forEach(node -> world.cut(World.WORKERS, node, World.Cut.NONE)));
            }
            default -> {
                world.state.outage(10);
                world.at(12_000, () -> nodes.forEach(node -> world.crashFor(node, 4)));
                world.at(18_000, () -> world.state.outage(20));
                world.at(39_000, () -> world.crashFor(Days.leader(world), 1));
            }
        }
        return 40;
    }

    private static JsonNode counters(World world, String node) {
        List<Http.Response> answers = new ArrayList<>();
        Http.Request request = new Http.Request("GET", Controller.COUNTERS, "", new byte[0]);
        world.nodes.get(node).controller.servePeer(request, answers::add);
        assertEquals(200, answers.get(0).status());
        return Json.read(answers.get(0).body());
    }
}
