package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.busy;
import static org.spoolline.simulation.Workloads.day;
import static org.spoolline.simulation.Workloads.jobOf;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Http;

/** Links between controllers, workers and the key-value store are cut, delayed or lost in one direction. */
class NetworkPartitionTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderAloneLosesKeyValueStore(int seed) {
        day(seed, 300, simulation -> {
            String leader = leader(simulation);
            simulation.cut(leader, "state", Simulation.Cut.LOSE);
            simulation.at(30_000, () -> simulation.cut(leader, "state", Simulation.Cut.NONE));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderPacketsToKeyValueStoreAreDelayed(int seed) {
        day(seed, 300, simulation -> {
            String leader = leader(simulation);
            simulation.cut(leader, "state", Simulation.Cut.HOLD);
            simulation.at(25_000, () -> simulation.cut(leader, "state", Simulation.Cut.NONE));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderReachesOnlyWorkers(int seed) {
        day(seed, 300, simulation -> {
            String leader = leader(simulation);
            for (String other : List.of("node-0", "node-1", "node-2", "state", "cloud")) {
                if (!other.equals(leader)) {
                    simulation.cut(leader, other, Simulation.Cut.HOLD);
                    simulation.at(40_000, () -> simulation.cut(leader, other, Simulation.Cut.NONE));
                }
            }
        });
    }

    /** A leader that no worker reaches would otherwise keep them all waiting until their leases expire. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderWithoutWorkersStepsDown(int seed) {
        day(seed, 300, simulation -> {
            String deaf = leader(simulation);
            // Machines that boot meanwhile are partitioned too: a leader that receives any heartbeat stays leader.
            simulation.cut(Simulation.WORKERS, deaf, Simulation.Cut.LOSE);
            simulation.at(14_000, () -> assertFalse(deaf.equals(simulation.leader())));
            simulation.at(40_000, () -> simulation.cut(Simulation.WORKERS, deaf, Simulation.Cut.NONE));
        });
    }

    /** Heartbeats alone must not keep such a machine in use: its tasks would be placed there again at each lease expiry. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machineWithUnreachableDownlinkIsScaledIn(int seed) {
        day(seed, 400, simulation -> {
            FakeWorker worker = busy(simulation);
            simulation.cutOneWay("node-0", worker.name, Simulation.Cut.LOSE);
            simulation.cutOneWay("node-1", worker.name, Simulation.Cut.LOSE);
            simulation.cutOneWay("node-2", worker.name, Simulation.Cut.LOSE);
            // Launches that the machine did not receive move to others after one lease.
            simulation.at(45_000, () -> simulation.users.submit(jobOf(simulation, 0)));
            simulation.at(
                    240_000,
                    () -> assertTrue(
                            worker.dead(), "expected the machine with the unreachable downlink to be scaled in"));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machineIsUsedAgainAfterUnreachableDownlink(int seed) {
        day(seed, 300, simulation -> {
            FakeWorker worker = busy(simulation);
            for (String node : NODES) {
                simulation.cutOneWay(node, worker.name, Simulation.Cut.HOLD);
                simulation.at(30_000, () -> simulation.cutOneWay(node, worker.name, Simulation.Cut.NONE));
            }
        });
    }

    /** A leader that has lost everything but its workers must not keep them from the new leader. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workersMoveFromIsolatedLeaderToNewLeader(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 6, 1, 200));
        simulation.run(37);
        String old = leader(simulation);
        for (String other : List.of("node-0", "node-1", "node-2", "state")) {
            if (!other.equals(old)) {
                simulation.cut(old, other, Simulation.Cut.LOSE);
            }
        }
        // The isolated leader may answer them for about 24 s.
        simulation.run(19);
        assertFalse(old.equals(simulation.leader()));
        for (FakeWorker worker : simulation.workers().values()) {
            assertTrue(worker.dead() || !worker.reportsTo().equals(old), "seed " + seed + ": " + worker.name);
        }
        assertEquals(List.of(), simulation.invariants.broken());
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void unreachableDownlinkWithDuplicatedHeartbeatsAndIsolatedLeader(int seed) {
        day(seed, 500, simulation -> {
            simulation.copyReports(30_000);
            FakeWorker worker = busy(simulation);
            String old = leader(simulation);
            for (String node : NODES) {
                simulation.cutOneWay(node, worker.name, Simulation.Cut.LOSE);
                if (!node.equals(old)) {
                    simulation.cut(old, node, Simulation.Cut.HOLD);
                    simulation.at(40_000, () -> simulation.cut(old, node, Simulation.Cut.NONE));
                }
            }
            simulation.cut(old, "state", Simulation.Cut.HOLD);
            simulation.at(40_000, () -> simulation.cut(old, "state", Simulation.Cut.NONE));
            simulation.at(100_000, () -> simulation.copyReports(0));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void workerIsPartitionedAndItsHeartbeatsArriveLate(int seed) {
        day(seed, 300, simulation -> {
            FakeWorker worker = busy(simulation);
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                simulation.cut(worker.name, node, Simulation.Cut.HOLD);
                simulation.at(25_000, () -> simulation.cut(worker.name, node, Simulation.Cut.NONE));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledJobEndsOnUnreachableMachines(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        SimulatedUsers.Job job = simulation.users.submit(simulation.users.job("blue", "batch", 4, 2, 300));
        simulation.run(40);
        simulation.workers().values().forEach(w -> {
            for (int i = 0; i < 3; i++) {
                simulation.cut(w.name, "node-" + i, Simulation.Cut.LOSE);
            }
        });
        simulation.users.cancel(job);
        simulation.run(120);
        assertEquals("aborted", job.status());
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
    }

    /** A controller that alone can't reach the key-value store forwards requests to one that can. */
    @Test
    void controllerWithoutKeyValueStoreForwardsRequests() {
        Simulation simulation = new Simulation(2);
        simulation.run(8);
        simulation.cut("node-1", "state", Simulation.Cut.LOSE);
        simulation.run(10);
        List<Integer> statuses = new ArrayList<>();
        simulation.call(
                "users",
                "node-1:1",
                new Http.Request("GET", "/submissions/run-000042", "", new byte[0]),
                2_000,
                reply -> statuses.add(reply.status()));
        simulation.run(3);
        assertEquals(List.of(404), statuses);
    }
}
