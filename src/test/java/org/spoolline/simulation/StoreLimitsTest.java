package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.upgrade.ProductionSamples;

/**
 * The key-value store lowers its limits on the size of values and transactions, which the settings announce beforehand.
 */
class StoreLimitsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void limitsAreLoweredWhileStagesComplete(int seed) {
        Simulation simulation = new Simulation(seed, 8);
        simulation.controllers.announceLimits(2_048, 4, 28);
        simulation.run(3);
        SimulatedJob wide = simulation.users.submit(simulation.users.job("blue", "batch", 900, 0.5, 40));
        List<DependencyChain> chains = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            simulation.at(5_000 + i * 6_000L, () -> chains.add(new DependencyChain(simulation).submit()));
        }
        simulation.run(25);
        simulation.store.lowerLimits(2_048, 4);
        simulation.at(5_000, () -> simulation.users.cancel(chains.get(0).thirdStage));
        simulation.at(12_000, () -> simulation.controllers.crashFor(leader(simulation), 4));
        simulation.at(60_000, simulation.invariants::faultsEnded);
        simulation.run(420);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals("aborted", chains.get(0).lastStage.status(), "seed " + seed);
        assertEquals("done", chains.get(2).lastStage.status(), "seed " + seed);
        // Each controller may exceed the limit once before it discovers it, with one further batch in flight.
        assertTrue(
                simulation.store.oversizedCommits() <= 12,
                "seed " + seed + ": " + simulation.store.oversizedCommits() + " oversized commits");
    }

    /** Stores a production value that is twice as large as the lowered limit on values, and submits its job. */
    private static SimulatedJob submitOversizedJob(Simulation simulation) {
        // Advances the job ids to that of the stored value, run-000007.
        for (int i = 0; i < 6; i++) {
            simulation.users.job("blue", "batch", 1, 1, 5);
        }
        SimulatedJob wide = simulation.users.job("blue", "batch", 1_800, 0.5, 30);
        for (int task = 0; task < 1_500; task += 7) {
            simulation.invariants.taskCompletedBefore(wide.jobId(), task);
        }
        simulation.cloud.capacity = 40;
        simulation.store.put("job/" + wide.jobId(), Json.read(ProductionSamples.bytes("wide.json")));
        simulation.controllers.announceLimits(2_048, 4, 28);
        simulation.store.lowerLimits(2_048, 4);
        simulation.run(2);
        simulation.users.submit(wide);
        simulation.run(3);
        assertTrue(wide.accepted());
        return wide;
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void oversizedValueIsWrittenOnceItFits(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        SimulatedJob wide = submitOversizedJob(simulation);
        SimulatedJob other = simulation.users.submit(simulation.users.job("red", "batch", 4, 1, 5));
        simulation.run(40);
        assertEquals("done", other.status(), "seed " + seed);
        simulation.run(300);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertTrue(
                simulation.store.oversizedCommits() <= 4,
                "seed " + seed + ": " + simulation.store.oversizedCommits() + " oversized commits");
    }

    /**
     * If placements made a value as large as the limit in force, the value could not be written any more after the
     * limit is lowered.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void placementsStayUnderAnnouncedLimits(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        simulation.cloud.capacity = 40;
        simulation.controllers.announceLimits(900, 4, 28);
        simulation.run(3);
        SimulatedJob wide = simulation.users.submit(
                simulation.users.job("blue", "batch", 1_500, 0.5, 30).withRunTimeStepMs(10));
        simulation.run(30);
        int bytes = Json.bytes(simulation.store.value("job/" + wide.jobId())).length;
        assertTrue(bytes > 500 && bytes <= 900, "seed " + seed + ": " + bytes + " bytes");
        simulation.store.lowerLimits(900, 4);
        simulation.run(400);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobWithOversizedValueIsCancelled(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        SimulatedJob wide = submitOversizedJob(simulation);
        simulation.users.cancel(wide);
        simulation.run(8);
        assertEquals("aborted", wide.status(), "seed " + seed);
        assertEquals(
                1_285,
                simulation.store.value("job/" + wide.jobId()).path("unlisted").asInt());
        // The attempts of the cancelled job count against the team's quota of 1,024 cores until they have terminated.
        SimulatedJob laterJob = simulation.users.submit(simulation.users.job("blue", "batch", 1_600, 0.5, 200));
        simulation.run(20);
        int placed = Pipeline.decode(simulation.store.value("job/" + laterJob.jobId()))
                .attempts()
                .size();
        assertTrue(placed > 0 && placed <= 2_048 - 1_285, "seed " + seed + ": " + placed + " placed");
        simulation.run(60);
        assertEquals(
                "aborted",
                simulation.store.value("final/" + wide.jobId()).path("end").asText());
        assertEquals("aborted", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }
}
