package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Http;

/** Links between controllers, workers and the key-value store lose or delay packets, in one direction or both. */
class NetworkPartitionTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderIsPartitionedFromKeyValueStore(int seed) {
        runScenario(seed, 300, simulation -> {
            String leader = leader(simulation);
            simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.LOST);
            simulation.at(
                    30_000, () -> simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.CONNECTED));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderPacketsToKeyValueStoreAreDelayed(int seed) {
        runScenario(seed, 300, simulation -> {
            String leader = leader(simulation);
            simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.DELAYED);
            simulation.at(
                    25_000, () -> simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.CONNECTED));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderReachesOnlyWorkers(int seed) {
        runScenario(seed, 300, simulation -> {
            String leader = leader(simulation);
            for (String other : List.of("node-0", "node-1", "node-2", Network.KEY_VALUE_STORE, Network.CLOUD)) {
                if (!other.equals(leader)) {
                    simulation.network.setLink(leader, other, LinkState.DELAYED);
                    simulation.at(40_000, () -> simulation.network.setLink(leader, other, LinkState.CONNECTED));
                }
            }
        });
    }

    /**
     * A leader that receives no heartbeats must step down, because otherwise no worker gets a response before its lease
     * expires.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderWithoutWorkersStepsDown(int seed) {
        runScenario(seed, 300, simulation -> {
            String oldLeader = leader(simulation);
            // Covers machines that boot later too, because a leader that receives any heartbeat does not step down.
            simulation.network.setLink(Network.WORKERS, oldLeader, LinkState.LOST);
            simulation.at(14_000, () -> assertFalse(oldLeader.equals(simulation.leader())));
            simulation.at(40_000, () -> simulation.network.setLink(Network.WORKERS, oldLeader, LinkState.CONNECTED));
        });
    }

    /**
     * The leader receives the machine's heartbeats, but neither responses nor commands reach the machine. If heartbeats
     * alone made it schedulable, its tasks would be placed there again at each lease expiry.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machineWithUnreachableDownlinkIsScaledIn(int seed) {
        runScenario(seed, 400, simulation -> {
            FakeWorker worker = busyWorker(simulation);
            simulation.network.setOneWay("node-0", worker.name, LinkState.LOST);
            simulation.network.setOneWay("node-1", worker.name, LinkState.LOST);
            simulation.network.setOneWay("node-2", worker.name, LinkState.LOST);
            // Tasks whose launch this machine did not receive are placed on other machines after one lease.
            simulation.at(45_000, () -> simulation.users.submit(mixedJob(simulation, 0)));
            simulation.at(
                    240_000,
                    () -> assertTrue(
                            worker.isDown(), "expected the machine with the unreachable downlink to be scaled in"));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machineIsUsedAgainAfterUnreachableDownlink(int seed) {
        runScenario(seed, 300, simulation -> {
            FakeWorker worker = busyWorker(simulation);
            for (String node : NODES) {
                simulation.network.setOneWay(node, worker.name, LinkState.DELAYED);
                simulation.at(30_000, () -> simulation.network.setOneWay(node, worker.name, LinkState.CONNECTED));
            }
        });
    }

    /**
     * A leader that reaches only its workers, but no other controller and not the key-value store, must not keep them
     * from sending their heartbeats to the new leader.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workersMoveFromIsolatedLeaderToNewLeader(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 6, 1, 200));
        simulation.run(37);
        String isolatedLeader = leader(simulation);
        for (String other : List.of("node-0", "node-1", "node-2", Network.KEY_VALUE_STORE)) {
            if (!other.equals(isolatedLeader)) {
                simulation.network.setLink(isolatedLeader, other, LinkState.LOST);
            }
        }
        // The isolated leader may answer heartbeats for about 24 s; the workers must move before that.
        simulation.run(19);
        assertFalse(isolatedLeader.equals(simulation.leader()));
        for (FakeWorker worker : simulation.workers().values()) {
            assertTrue(
                    worker.isDown() || !worker.heartbeatTarget().equals(isolatedLeader),
                    "seed " + seed + ": " + worker.name);
        }
        assertEquals(List.of(), simulation.invariants.violations());
    }

    /**
     * A machine receives nothing, its heartbeats are duplicated, and the leader loses the key-value store and its
     * peers.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void unreachableDownlinkWithDuplicatedHeartbeatsAndIsolatedLeader(int seed) {
        runScenario(seed, 500, simulation -> {
            simulation.network.duplicateHeartbeats(30_000);
            FakeWorker worker = busyWorker(simulation);
            String isolatedLeader = leader(simulation);
            for (String node : NODES) {
                simulation.network.setOneWay(node, worker.name, LinkState.LOST);
                if (!node.equals(isolatedLeader)) {
                    simulation.network.setLink(isolatedLeader, node, LinkState.DELAYED);
                    simulation.at(40_000, () -> simulation.network.setLink(isolatedLeader, node, LinkState.CONNECTED));
                }
            }
            simulation.network.setLink(isolatedLeader, Network.KEY_VALUE_STORE, LinkState.DELAYED);
            simulation.at(
                    40_000,
                    () -> simulation.network.setLink(isolatedLeader, Network.KEY_VALUE_STORE, LinkState.CONNECTED));
            simulation.at(100_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workerIsPartitionedAndItsHeartbeatsArriveLate(int seed) {
        runScenario(seed, 300, simulation -> {
            FakeWorker worker = busyWorker(simulation);
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                simulation.network.setLink(worker.name, node, LinkState.DELAYED);
                simulation.at(25_000, () -> simulation.network.setLink(worker.name, node, LinkState.CONNECTED));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledJobEndsOnUnreachableMachines(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        SimulatedJob job = simulation.users.submit(simulation.users.job("blue", "batch", 4, 2, 300));
        simulation.run(40);
        simulation.workers().values().forEach(w -> {
            for (int i = 0; i < 3; i++) {
                simulation.network.setLink(w.name, "node-" + i, LinkState.LOST);
            }
        });
        simulation.users.cancel(job);
        simulation.run(120);
        assertEquals("aborted", job.status());
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    /** A controller that can't reach the key-value store must forward users' requests to a controller that can. */
    @Test
    void controllerWithoutKeyValueStoreForwardsRequests() {
        Simulation simulation = new Simulation(2);
        simulation.run(8);
        simulation.network.setLink("node-1", Network.KEY_VALUE_STORE, LinkState.LOST);
        simulation.run(10);
        List<Integer> statuses = new ArrayList<>();
        simulation.network.call(
                "users",
                "node-1:1",
                new Http.Request("GET", "/submissions/run-000042", "", new byte[0]),
                2_000,
                reply -> statuses.add(reply.status()));
        simulation.run(3);
        assertEquals(List.of(404), statuses);
    }
}
