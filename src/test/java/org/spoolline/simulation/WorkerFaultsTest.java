package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Workers lose power, hang, restart, fail tasks and send duplicated heartbeats. */
class WorkerFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workersLosePower(int seed) {
        runScenario(seed, 260, simulation -> {
            busyWorker(simulation).losePower();
            simulation.at(10_000, () -> busyWorker(simulation).losePower());
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workerHangsWithinAndBeyondItsLease(int seed) {
        runScenario(seed, 300, simulation -> {
            busyWorker(simulation).hang(9);
            simulation.at(12_000, () -> busyWorker(simulation).hang(40));
        });
    }

    /**
     * A leader must not take a late duplicate of a heartbeat as proof that a task has terminated, nor renew a lease for
     * it, even if a new leader receives the duplicate before any other heartbeat.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void duplicatedHeartbeatsArriveLate(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.network.duplicateHeartbeats(45_000);
            simulation.at(15_000, () -> busyWorker(simulation).losePower());
            simulation.at(30_000, () -> simulation.controllers.crashFor(leader(simulation), 4));
            simulation.at(60_000, () -> simulation.cloud.remove(busyWorker(simulation).name));
            simulation.at(75_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
            simulation.at(110_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void duplicatedHeartbeatsOfHangingWorkerArriveAfterItsLease(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.network.duplicateHeartbeats(30_000);
            busyWorker(simulation).hang(25);
            simulation.at(40_000, () -> busyWorker(simulation).hang(9));
            simulation.at(90_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    /**
     * A worker that restarts within 0.3 s no longer has its earlier tasks, fencing token and message counter, while
     * duplicates of its earlier heartbeats still arrive.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workersRestartWithin300Ms(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.network.duplicateHeartbeats(30_000);
            for (int i = 0; i < 6; i++) {
                simulation.at(i * 9_000L, () -> busyWorker(simulation).restartAfter(0.3));
            }
            simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
            simulation.at(20_200, () -> busyWorker(simulation).restartAfter(0.1));
            simulation.at(90_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workerFailsEveryTask(int seed) {
        runScenario(seed, 300, simulation -> busyWorker(simulation).failsEveryTask = true);
    }

    /** A job whose tasks fail on every machine must not drain the machines that other jobs need. */
    @Test
    void jobThatFailsEverywhereDoesNotBlockOthers() {
        Simulation simulation = new Simulation(7);
        simulation.run(3);
        SimulatedJob failingJob = simulation.users.submit(
                simulation.users.job("red", "batch", 3, 1, 5).failingEverywhere());
        SimulatedJob otherJob = simulation.users.submit(simulation.users.job("blue", "batch", 8, 1, 10));
        simulation.run(120);
        assertEquals("done", otherJob.status());
        assertFalse(List.of("done", "aborted").contains(failingJob.status()));
        simulation.users.cancel(failingJob);
        simulation.run(60);
        assertEquals("aborted", failingJob.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }
}
