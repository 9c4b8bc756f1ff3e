package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.spoolline.simulation.Workloads.assertEveryJobDone;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Mixed, bursty and uneven workloads with few faults or none: every job must complete, and none may starve. */
class WorkloadTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void mixedLoadCompletesWithoutFaults(int seed) {
        runScenario(seed, 200, simulation -> {});
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void burstOfSubmissionsCompletes(int seed) {
        runScenario(seed, 400, simulation -> {
            for (int i = 0; i < 24; i++) {
                simulation.users.submit(mixedJob(simulation, i));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobsWithWrongRuntimeEstimatesComplete(int seed) {
        runScenario(seed, 300, simulation -> {
            for (int i = 0; i < 8; i++) {
                simulation.users.submit(mixedJob(simulation, i).with("expectS", i % 2 == 0 ? 0.5 : 900.0));
            }
        });
    }

    /**
     * A stream of small urgent and standard jobs must not starve the largest job of any job class: a wide array, an
     * urgent gang in one zone, and a gang as large as its team's limit.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void streamOfSmallJobsDoesNotStarveLargestJobs(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        simulation.cloud.capacity = 20;
        simulation.run(3);
        for (int i = 0; i < 100; i++) {
            int n = i;
            simulation.at(
                    i * 1_500L,
                    () -> simulation.users.submit(simulation
                            .users
                            .job(n % 2 == 0 ? "blue" : "red", "batch", 6, 1, 12)
                            .with("lane", "small")
                            .with("urgency", n % 3 == 0 ? "urgent" : "standard")));
        }
        simulation.at(
                10_000,
                () -> simulation.users.submit(simulation
                        .users
                        .job("blue", "group", 24, 7, 40)
                        .with("lane", "gang")
                        .with("samePlace", true)
                        .with("urgency", "urgent")
                        .with("bookmarkS", 5.0)));
        simulation.at(
                12_000,
                () -> simulation.users.submit(
                        simulation.users.job("blue", "batch", 1_800, 1, 10).with("lane", "wide")));
        simulation.at(
                14_000,
                () -> simulation.users.submit(simulation
                        .users
                        .job("red", "group", 32, 16, 20)
                        .with("lane", "limit")
                        .with("samePlace", false)));
        simulation.run(280);
        simulation.invariants.faultsEnded();
        simulation.run(150);
        assertEveryJobDone(simulation, seed);
    }

    /**
     * Gang members that already have the image time out while other members still fetch it. If members lost their
     * machines, they would fetch the image again on other machines while the rest time out in turn, and the gang would
     * never start.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void gangsStartDespiteUnevenImagePulls(int seed) {
        Simulation simulation = new Simulation(seed, 4);
        simulation.run(3);
        List<SimulatedJob> gangs = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            gangs.add(simulation.users.submit(simulation
                    .users
                    .job("red", "group", 3, 7, 20)
                    .with("samePlace", true)
                    .with("urgency", "urgent")
                    .with("plate", "large-" + i)
                    .with("imageGb", 75.0)));
        }
        for (int i = 0; i < 50; i++) {
            simulation.at(
                    20_000 + i * 5_000L,
                    () -> simulation.users.submit(simulation.users.job("blue", "batch", 8, 4, 15)));
        }
        simulation.at(60_000, () -> simulation.controllers.crashFor(leader(simulation), 5));
        simulation.run(300);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob gang : gangs) {
            assertEquals("done", gang.status(), "seed " + seed + ": " + gang.jobId());
        }
    }

    /**
     * Small jobs that are submitted later must not use the machines and the share of the team's quota that are reserved
     * for a large gang.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void endlessStreamDoesNotStarveLargeGangs(int seed) {
        Simulation simulation = new Simulation(seed, 6);
        simulation.cloud.capacity = 12;
        simulation.run(3);
        for (int i = 0; i < 400; i++) {
            simulation.at(
                    i * 1_000L,
                    () -> simulation.users.submit(simulation
                            .users
                            .job("red", "group", 1, 7, 40)
                            .with("lane", "small")
                            .with("urgency", "urgent")));
            simulation.at(
                    i * 1_000L + 500,
                    () -> simulation.users.submit(
                            simulation.users.job("blue", "batch", 8, 1, 15).with("lane", "stream")));
        }
        simulation.at(30_000, () -> {
            simulation.users.submit(
                    simulation.users.job("blue", "group", 24, 8, 20).with("lane", "limit"));
            simulation.users.submit(simulation
                    .users
                    .job("red", "group", 12, 7, 20)
                    .with("lane", "wide")
                    .with("samePlace", true)
                    .with("urgency", "urgent"));
        });
        simulation.run(330);
        simulation.invariants.checkAtEnd();
        assertEquals(
                List.of(),
                simulation.invariants.violations().stream()
                        .filter(violation -> !violation.contains("unserved"))
                        .toList(),
                "seed " + seed);
    }
}
