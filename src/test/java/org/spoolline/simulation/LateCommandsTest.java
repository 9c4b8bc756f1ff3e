package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Launches, scale-out and scale-in requests are carried out late, and machines return within a second. */
class LateCommandsTest {
    private static final int ORDER_MS = 150;
    private static final int SPREAD_MS = 5_000;
    private static final double RETURN_S = 0.3;
    private static final double IDLE_S = 260;

    /** Holds all responses to workers, cancels the jobs while launches are on their way, and releases them later. */
    private static void holdUpLaunches(int seed, long heldMs) {
        PlacedJobs placed = new PlacedJobs(seed);
        Simulation simulation = placed.simulation;
        setResponses(simulation, placed.leader, LinkState.DELAYED);
        simulation.run((ORDER_MS + simulation.random.nextInt(3_000)) / 1_000.0);
        assertTrue(placed.placedButNotLaunched() > 0, "seed " + seed + ": expected launches on their way");
        placed.cancelAll();
        simulation.at(heldMs, () -> setResponses(simulation, placed.leader, LinkState.CONNECTED));
        simulation.run(200);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : placed.jobs) {
            assertEquals("aborted", job.status(), "seed " + seed + ": " + job.jobId());
        }
    }

    private static void setResponses(Simulation simulation, String leader, LinkState state) {
        for (String worker : simulation.workers().keySet()) {
            simulation.network.setOneWay(leader, worker, state);
        }
    }

    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void launchHeldUpForLongerThanCancellationBoundDoesNotRun(int seed) {
        Simulation settings = new Simulation(seed);
        long cancelMs = settings.settings(leader(settings)).workers().cancelMs();
        holdUpLaunches(seed, cancelMs + settings.random.nextInt(SPREAD_MS));
    }

    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void launchHeldUpForSecondsDoesNotRunAfterCancellationBound(int seed) {
        holdUpLaunches(seed, new Simulation(seed).random.nextInt(SPREAD_MS));
    }

    private static void delayCloud(Simulation simulation, String controller, double seconds) {
        simulation.network.setLink(controller, Network.CLOUD, LinkState.DELAYED);
        simulation.at(
                (long) (seconds * 1_000),
                () -> simulation.network.setLink(controller, Network.CLOUD, LinkState.CONNECTED));
    }

    private static long machinesThat(Simulation simulation, Predicate<FakeWorker> condition) {
        return simulation.workers().values().stream().filter(condition).count();
    }

    /** Requests of leaders that have ended since are carried out; every machine must be used or returned. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void scaleOutAndScaleInRequestsAreCarriedOutLate(int seed) {
        runScenario(seed, 400, simulation -> {
            for (int i = 0; i < 4; i++) {
                simulation.at(i * 25_000L + simulation.random.nextInt(SPREAD_MS), () -> {
                    String leader = leader(simulation);
                    delayCloud(simulation, leader, 20 + simulation.random.nextInt(40));
                    simulation.at(
                            2_000 + simulation.random.nextInt(8_000),
                            () -> simulation.controllers.crashFor(leader, RETURN_S));
                });
                simulation.at(
                        i * 25_000L + 3_000,
                        () -> simulation.users.submit(simulation.users.job("blue", "batch", 8, 2, 10)));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void machinesAcquiredLateAreReturned(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        String leader = leader(simulation);
        delayCloud(simulation, leader, 30);
        SimulatedJob job = simulation.users.submit(simulation.users.job("blue", "batch", 10, 2, 5));
        simulation.run(1 + simulation.random.nextInt(10));
        simulation.controllers.crashFor(leader, 60);
        simulation.run(60 + IDLE_S);
        assertEquals("done", job.status(), "seed " + seed);
        assertEquals(0, machinesThat(simulation, machine -> !machine.isDown()), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void machinesReturnWithinOneSecondInNewAndInSameIncarnation(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.network.duplicateHeartbeats(30_000);
            for (int i = 0; i < 6; i++) {
                simulation.at(i * 9_000L, () -> busyWorker(simulation).restartInNextIncarnationAfter(RETURN_S));
                simulation.at(i * 9_000L + 4_000, () -> busyWorker(simulation).restartAfter(RETURN_S));
            }
            simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), RETURN_S));
            simulation.at(90_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }
}
