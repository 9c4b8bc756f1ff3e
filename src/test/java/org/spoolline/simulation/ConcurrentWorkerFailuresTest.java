package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.ConcurrentFaults.cancelEveryNth;
import static org.spoolline.simulation.ConcurrentFaults.firstFollower;
import static org.spoolline.simulation.ConcurrentFaults.liveWorkers;
import static org.spoolline.simulation.ConcurrentFaults.setLinksToControllers;
import static org.spoolline.simulation.ConcurrentFaults.setLinksToControllersExcept;
import static org.spoolline.simulation.ConcurrentFaults.submitLongJob;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.assertEveryJobDone;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Worker, network and load faults while a second fault is present. docs/concurrent-failures.md lists the combinations.
 */
class ConcurrentWorkerFailuresTest {
    /**
     * Machines of jobs with zone constraints lose power or their links to the controllers, and the leader crashes
     * meanwhile.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void singleZoneJobsLoseMachinesAcrossLeaderChange(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 10, 4, 30).with("samePlace", true));
        simulation.users.submit(simulation
                .users
                .job("red", "group", 4, 4, 40)
                .with("samePlace", true)
                .with("bookmarkS", 5.0)
                .with("stashS", 1.0));
        simulation.users.submit(simulation.users.job("blue", "batch", 6, 4, 30).with("yard", "b"));
        simulation.users.submit(simulation.users.job("blue", "group", 5, 2, 40).with("scatter", true));
        simulation.run(45);
        int[] lostMachines = new int[1];
        for (int i = 0; i < 4; i++) {
            simulation.at(i * 11_000L, () -> {
                FakeWorker worker = busyWorker(simulation);
                lostMachines[0] += worker.isDown() ? 0 : 1;
                if (simulation.random.nextBoolean()) {
                    worker.losePower();
                } else {
                    setLinksToControllers(simulation, worker.name, LinkState.LOST);
                    simulation.at(25_000, () -> setLinksToControllers(simulation, worker.name, LinkState.CONNECTED));
                }
            });
        }
        simulation.at(12_000, () -> simulation.controllers.crashFor(leader(simulation), 5));
        simulation.run(80);
        assertTrue(lostMachines[0] > 0, "expected a machine to be lost");
        simulation.invariants.faultsEnded();
        simulation.run(300);
        assertEveryJobDone(simulation, seed);
    }

    /**
     * Responses to heartbeats are delayed for 2 to 7 s while the worker continues to run; workers also hang and jobs
     * are cancelled.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void heartbeatResponsesAreDelayedWhileWorkersRun(int seed) {
        runScenario(seed, 360, simulation -> {
            submitLongJob(simulation, "blue", 6, 2);
            for (int i = 0; i < 8; i++) {
                simulation.at(i * 7_000L, () -> {
                    FakeWorker worker = busyWorker(simulation);
                    NODES.forEach(n -> simulation.network.setOneWay(n, worker.name, LinkState.DELAYED));
                    long seconds = 2 + simulation.random.nextInt(6);
                    simulation.at(
                            seconds * 1_000,
                            () -> NODES.forEach(
                                    n -> simulation.network.setOneWay(n, worker.name, LinkState.CONNECTED)));
                    busyWorker(simulation).hang(seconds);
                    simulation.at(1_000, () -> cancelEveryNth(simulation, 6));
                });
            }
        });
    }

    /** Jobs of several urgency classes exceed the capacity of the cloud while links are slow and the leader crashes. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void overloadWithMixedUrgencyOverSlowLinks(int seed) {
        runScenario(seed, 700, simulation -> {
            simulation.cloud.capacity = 2;
            NODES.forEach(n -> simulation.network.slowDown(n));
            simulation.network.slowDown(Network.KEY_VALUE_STORE);
            for (int i = 0; i < 16; i++) {
                simulation.users.submit(mixedJob(simulation, i)
                        .with("urgency", i % 3 == 0 ? "urgent" : i % 3 == 1 ? "standard" : "best_effort"));
            }
            simulation.at(20_000, () -> cancelEveryNth(simulation, 4));
            simulation.at(60_000, () -> simulation.controllers.crashFor(leader(simulation), 5));
            simulation.at(200_000, () -> {
                NODES.forEach(n -> simulation.network.restoreSpeed(n));
                simulation.network.restoreSpeed(Network.KEY_VALUE_STORE);
            });
        });
    }

    /**
     * Partitions zone a with one controller from the other controllers, the key-value store, the cloud and the users
     * for 40 s. Workers of the zone stay with this controller for as long as it may answer their heartbeats.
     */
    private static void partitionZoneWithController(int seed, Function<Simulation, String> chooseController) {
        runScenario(seed, 480, simulation -> {
            submitLongJob(simulation, "blue", 8, 2);
            submitLongJob(simulation, "red", 4, 2);
            simulation.at(14_000, () -> {
                String zoneController = chooseController.apply(simulation);
                List<FakeWorker> zoneWorkers = liveWorkers(simulation).stream()
                        .filter(w -> w.zone.equals("a"))
                        .toList();
                setLinksToControllers(simulation, zoneController, LinkState.DELAYED);
                for (String other : List.of(Network.KEY_VALUE_STORE, Network.CLOUD, Network.USERS)) {
                    simulation.network.setLink(zoneController, other, LinkState.DELAYED);
                }
                zoneWorkers.forEach(
                        w -> setLinksToControllersExcept(simulation, w.name, zoneController, LinkState.DELAYED));
                simulation.at(6_000, () -> cancelEveryNth(simulation, 3));
                simulation.at(40_000, () -> {
                    setLinksToControllers(simulation, zoneController, LinkState.CONNECTED);
                    for (String other : List.of(Network.KEY_VALUE_STORE, Network.CLOUD, Network.USERS)) {
                        simulation.network.setLink(zoneController, other, LinkState.CONNECTED);
                    }
                    zoneWorkers.forEach(
                            w -> setLinksToControllersExcept(simulation, w.name, zoneController, LinkState.CONNECTED));
                });
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void zoneWithLeaderIsPartitionedBeyondLease(int seed) {
        partitionZoneWithController(seed, Workloads::leader);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void zoneWithFollowerIsPartitionedBeyondLease(int seed) {
        partitionZoneWithController(seed, ConcurrentFaults::firstFollower);
    }

    /**
     * Workers can't send heartbeats, although commands still reach them, so their leases are not renewed. Their tasks
     * terminate when the lease expires, and the leader must not start them on other machines before that.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workersWithoutUplinkStillReceiveCommands(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 8, 2);
            simulation.at(14_000, () -> {
                List<FakeWorker> blockedWorkers = liveWorkers(simulation)
                        .subList(0, Math.max(1, liveWorkers(simulation).size() / 2));
                blockedWorkers.forEach(w -> simulation.network.blockOutbound(w.name, 30));
                simulation.at(1_000, () -> cancelEveryNth(simulation, 2));
                simulation.at(9_000, () -> simulation.controllers.crashFor(leader(simulation), 5));
            });
        });
    }

    /**
     * The leader crashes, and the new leader receives delayed and duplicated heartbeats that are older than its
     * election.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void delayedHeartbeatsReachNewLeader(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 8, 2);
            submitLongJob(simulation, "red", 4, 2);
            simulation.at(14_000, () -> {
                String nextLeader = firstFollower(simulation);
                // Heartbeats sent to this controller now arrive after it has become leader, along with duplicates of
                // later ones.
                simulation.network.setOneWay(Network.WORKERS, nextLeader, LinkState.DELAYED);
                simulation.network.duplicateHeartbeats(40_000);
                simulation.controllers.crashFor(leader(simulation), 9);
                simulation.at(3_000, () -> busyWorker(simulation).hang(20));
                simulation.at(
                        12_000 + simulation.random.nextInt(12_000),
                        () -> simulation.network.setOneWay(Network.WORKERS, nextLeader, LinkState.CONNECTED));
                simulation.at(7_000, () -> cancelEveryNth(simulation, 3));
                simulation.at(45_000, () -> simulation.network.duplicateHeartbeats(0));
            });
        });
    }

    /**
     * Workers hang and restart while duplicates of their heartbeats arrive up to 50 s late, after heartbeats of a newer
     * incarnation.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void staleHeartbeatsOfEarlierIncarnationsArriveLate(int seed) {
        runScenario(seed, 480, simulation -> {
            simulation.network.duplicateHeartbeats(50_000);
            submitLongJob(simulation, "blue", 6, 2);
            submitLongJob(simulation, "red", 4, 2);
            for (int i = 0; i < 5; i++) {
                simulation.at(8_000 + i * 13_000L, () -> {
                    busyWorker(simulation).hang(18);
                    busyWorker(simulation).restartAfter(0.4);
                    cancelEveryNth(simulation, 7);
                });
            }
            simulation.at(30_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
            simulation.at(52_000, () -> simulation.controllers.crashFor(leader(simulation), 6));
            simulation.at(100_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    /** A user cancels, polls and resubmits a job at the moment its last task completes. */
    @Test
    void cancellationPollAndResubmissionCoincideWithCompletion() {
        int[] cancelledAtCompletion = new int[1];
        for (int seed : Seeds.each()) {
            runScenario(seed, 260, simulation -> {
                simulation.users.cancelAtCompletion(0.8, 100);
                for (int i = 0; i < 10; i++) {
                    int n = i;
                    simulation.at(i * 3_000L, () -> simulation.users.submit(mixedJob(simulation, n)));
                }
                simulation.at(100_000, () -> cancelledAtCompletion[0] += simulation.users.cancelledAtCompletion());
            });
        }
        assertTrue(
                cancelledAtCompletion[0] > 10,
                "expected more than 10 cancellations at completion, got " + cancelledAtCompletion[0]);
    }

    /**
     * All jobs are cancelled within 200 ms, up to 8 workers hang within 400 ms, and the leader crashes after 1 s. The
     * tasks must still terminate in time.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void jobsAreCancelledTogetherWhileWorkersHang(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            jobs.add(simulation.users.submit(simulation.users.job(i % 2 == 0 ? "blue" : "red", "batch", 3, 1, 300)));
        }
        simulation.run(40);
        jobs.forEach(j -> simulation.at(simulation.random.nextInt(200), () -> simulation.users.cancel(j)));
        List<FakeWorker> hangingWorkers = liveWorkers(simulation).stream()
                .filter(w -> !w.tasks().isEmpty())
                .limit(8)
                .toList();
        assertFalse(hangingWorkers.isEmpty());
        int hangS = 4 + simulation.random.nextInt(30);
        simulation.at(simulation.random.nextInt(400), () -> hangingWorkers.forEach(w -> w.hang(hangS)));
        simulation.at(1_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
        simulation.run(120);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        jobs.forEach(j -> assertEquals("aborted", j.status()));
    }
}
