package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.assertEveryJobDone;
import static org.spoolline.simulation.Workloads.leader;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Deployments of hundreds to thousands of machines, where bounds on sockets, requests and time matter. */
class FleetTest {
    /**
     * Runs array jobs and gangs of two teams on over a thousand machines, and injects the fault 70 s after the first
     * jobs.
     */
    private static void runFleet(int seed, Workloads.Fault fault) {
        Simulation simulation = new Simulation(seed, 200, 500);
        simulation.cloud.capacity = 190;
        simulation.run(8);
        for (int i = 0; i < 10; i++) {
            int n = i;
            simulation.at(i * 4_000L, () -> {
                simulation.users.submit(simulation
                        .users
                        .job("blue", "batch", 200 + 20 * n, 8, 30)
                        .with("lane", "wide"));
                simulation.users.submit(simulation
                        .users
                        .job("red", "group", n % 2 == 0 ? 24 : 4, 7, 40)
                        .with("lane", "gang")
                        .with("samePlace", true)
                        .with("urgency", "urgent")
                        .with("bookmarkS", 5.0));
            });
        }
        simulation.run(70);
        fault.inject(simulation);
        simulation.at(120_000, simulation.invariants::faultsEnded);
        simulation.run(330);
        assertEveryJobDone(simulation, seed);
    }

    /**
     * Internal bounds must not be lower than the fleet size that users need: more than 4,000 machines run tasks, and
     * all jobs complete after a leader crash.
     */
    @Test
    void fourThousandMachinesRunAcrossLeaderChange() {
        Simulation simulation = new Simulation(1, 1_200, 2_000);
        simulation.cloud.capacity = 600;
        simulation.run(8);
        for (int i = 0; i < 30; i++) {
            int n = i;
            simulation.at(
                    i * 1_000L,
                    () -> simulation.users.submit(simulation
                            .users
                            .job(n % 3 == 0 ? "red" : "blue", "batch", 200, 7, 60)
                            .with("lane", "wide")));
        }
        simulation.run(45);
        long busy = simulation.workers().values().stream()
                .filter(w -> w.tasks().stream().anyMatch(SimulatedTask::isAlive))
                .count();
        assertTrue(busy > 4_000, "expected more than 4000 machines with tasks, got " + busy);
        simulation.controllers.crashFor(leader(simulation), 4);
        simulation.at(20_000, simulation.invariants::faultsEnded);
        simulation.run(140);
        assertEveryJobDone(simulation, 1);
    }

    private static List<FakeWorker> firstLiveWorkers(Simulation simulation, int count) {
        return simulation.workers().values().stream()
                .filter(w -> !w.isDown())
                .limit(count)
                .toList();
    }

    @Test
    void fleetSurvivesRestartsOfAllControllersDuringElection() {
        runFleet(1, simulation -> {
            assertTrue(
                    firstLiveWorkers(simulation, 2_000).size() > 1_000,
                    "expected more than 1000 machines, got "
                            + firstLiveWorkers(simulation, 2_000).size());
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                simulation.controllers.crashFor(node, 0.3);
                simulation.at(600, () -> simulation.controllers.crashFor(node, 0.1));
                simulation.at(30_000, () -> simulation.controllers.crashFor(node, 4));
            }
            simulation.network.duplicateHeartbeats(30_000);
            simulation.at(100_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    /**
     * Each early-heartbeat request to a hanging worker holds a socket until its timeout. Hundreds of them at a time
     * would leave no sockets for the key-value store.
     */
    @Test
    void earlyHeartbeatRequestsAreBounded() {
        Simulation simulation = new Simulation(3, 40);
        simulation.cloud.capacity = 60;
        simulation.run(8);
        SimulatedJob job = simulation.users.submit(simulation.users.job("blue", "batch", 250, 8, 300));
        simulation.run(50);
        simulation.workers().values().forEach(w -> w.hang(9));
        int peakBeforeCancellation = simulation.network.peakRequestsToWorkers();
        simulation.users.cancel(job);
        simulation.run(60);
        int maxRequests = simulation.settings("node-0").maxEarlyHeartbeatRequests();
        assertEquals(
                maxRequests,
                simulation.network.peakRequestsToWorkers(),
                "peak of early-heartbeat requests, before the cancellation: " + peakBeforeCancellation);
        assertEquals("aborted", job.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    @Test
    void fleetSurvivesPartitionLeaderCrashAndStall() {
        runFleet(2, simulation -> {
            for (FakeWorker worker : firstLiveWorkers(simulation, 200)) {
                for (int i = 0; i < 3; i++) {
                    String node = "node-" + i;
                    simulation.network.setLink(worker.name, node, LinkState.DELAYED);
                    simulation.at(45_000, () -> simulation.network.setLink(worker.name, node, LinkState.CONNECTED));
                }
            }
            simulation.at(4_000, () -> simulation.controllers.crashFor(leader(simulation), 6));
            simulation.at(
                    20_000,
                    () -> firstLiveWorkers(simulation, 400).subList(300, 400).forEach(FakeWorker::losePower));
            simulation.at(70_000, () -> simulation.controllers.stall(leader(simulation), 26));
        });
    }
}
