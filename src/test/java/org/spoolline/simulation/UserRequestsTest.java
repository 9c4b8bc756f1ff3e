package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;

/** Valid and invalid submissions, polls and cancellations of users. */
class UserRequestsTest {
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void jobsAreCancelledInEveryPhase(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        for (int i = 0; i < 8; i++) {
            SimulatedJob job = simulation.users.submit(mixedJob(simulation, i));
            long delayMs = i * 4_000L + simulation.random.nextInt(3_000);
            simulation.at(delayMs, () -> simulation.users.cancel(job));
        }
        simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), 5));
        simulation.run(200);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : simulation.users.jobs()) {
            assertTrue(List.of("done", "aborted").contains(job.status()), job.jobId() + " is " + job.status());
        }
    }

    @Test
    void unknownJobIsNotFound() {
        Simulation simulation = new Simulation(1);
        simulation.run(3);
        List<Integer> statuses = new ArrayList<>();
        simulation.users.pollUnknownJob(statuses::add);
        simulation.run(3);
        assertEquals(List.of(404), statuses);
    }

    @Test
    void invalidSubmissionsAreRejectedAndRepeatsAreIdempotent() {
        Simulation simulation = new Simulation(11);
        simulation.run(6);
        SimulatedJob validJob = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 20));
        List<SimulatedJob> invalid = new ArrayList<>();
        for (String field : List.of(
                "lane",
                "desk",
                "shape",
                "urgency",
                "slips",
                "cores",
                "accelerators",
                "memGb",
                "plate",
                "imageGb",
                "samePlace",
                "scatter",
                "standby",
                "expectS",
                "bookmarkS",
                "stashS")) {
            invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).without(field));
        }
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("cores", "2"));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", -1));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", 2.5));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("expectS", -3.0));
        invalid.add(simulation.users.job("blue", "batch", 1, 40, 5));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("memGb", 1_000));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("accelerators", 1));
        invalid.add(simulation.users.job("blue", "batch", 1, 1, 5).with("yard", "nowhere"));
        invalid.add(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("builds", Json.array().add("unheard-of")));
        invalid.add(simulation.users.job("nobody", "batch", 1, 1, 5));
        invalid.add(simulation.users.job("red", "group", 5, 8, 5));
        invalid.add(simulation
                .users
                .job("blue", "group", 3, 1, 5)
                .with("samePlace", true)
                .with("scatter", true));
        invalid.add(
                simulation.users.job("blue", "group", 3, 1, 5).with("yard", "a").with("scatter", true));
        invalid.forEach(j -> simulation.users.submit(j.markInvalid()));
        simulation.run(12);
        simulation.users.submit(validJob);
        simulation.run(60);
        assertEquals(List.of(), simulation.invariants.violations());
        invalid.forEach(j -> assertTrue(j.rejected(), j.jobId() + " was not rejected"));
        assertEquals("done", validJob.status());
        simulation.users.cancel(validJob);
        simulation.users.submit(validJob);
        simulation.run(5);
        assertEquals("done", validJob.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }
}
