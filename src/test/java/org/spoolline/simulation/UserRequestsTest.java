package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.jobOf;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;

/** Submissions, polls and cancellations as users send them, valid or not. */
class UserRequestsTest {
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void jobsAreCancelledInEveryPhase(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        for (int i = 0; i < 8; i++) {
            SimulatedUsers.Job job = simulation.users.submit(jobOf(simulation, i));
            long after = i * 4_000L + simulation.random.nextInt(3_000);
            simulation.at(after, () -> simulation.users.cancel(job));
        }
        simulation.at(20_000, () -> simulation.crashFor(leader(simulation), 5));
        simulation.run(200);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            assertTrue(List.of("done", "aborted").contains(job.status()), job.jobId() + " is " + job.status());
        }
    }

    @Test
    void unknownJobIsNotFound() {
        Simulation simulation = new Simulation(1);
        simulation.run(3);
        List<Integer> statuses = new ArrayList<>();
        simulation.users.askForNothing(statuses::add);
        simulation.run(3);
        assertEquals(List.of(404), statuses);
    }

    @Test
    void invalidSubmissionsAreRejectedAndRepeatsAreIdempotent() {
        Simulation simulation = new Simulation(11);
        simulation.run(6);
        SimulatedUsers.Job good = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 20));
        List<SimulatedUsers.Job> odd = new ArrayList<>();
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
            odd.add(simulation.users.job("blue", "batch", 1, 1, 5).without(field));
        }
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("cores", "2"));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", -1));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", 2.5));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("expectS", -3.0));
        odd.add(simulation.users.job("blue", "batch", 1, 40, 5));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("memGb", 1_000));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("accelerators", 1));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("yard", "nowhere"));
        odd.add(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("builds", Json.array().add("unheard-of")));
        odd.add(simulation.users.job("nobody", "batch", 1, 1, 5));
        odd.add(simulation.users.job("red", "group", 5, 8, 5));
        odd.add(simulation
                .users
                .job("blue", "group", 3, 1, 5)
                .with("samePlace", true)
                .with("scatter", true));
        odd.add(simulation.users.job("blue", "group", 3, 1, 5).with("yard", "a").with("scatter", true));
        odd.forEach(j -> simulation.users.submit(j.odd()));
        simulation.run(12);
        simulation.users.submit(good);
        simulation.run(60);
        assertEquals(List.of(), simulation.invariants.broken());
        odd.forEach(j -> assertTrue(j.refused(), j.jobId() + " was not rejected"));
        assertEquals("done", good.status());
        simulation.users.cancel(good);
        simulation.users.submit(good);
        simulation.run(5);
        assertEquals("done", good.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }
}
