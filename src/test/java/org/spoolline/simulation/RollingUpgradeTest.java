package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Controllers are upgraded one by one from a version that doesn't support jobs with dependencies. */
class RollingUpgradeTest {
    /**
     * Controllers must not store a value that the older version can't read until every controller is known to run the
     * newer version. Until then they do not accept jobs with dependencies.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void dependentJobsAreAcceptedOnceAllControllersAreUpgraded(int seed) {
        Simulation simulation = new Simulation(seed);
        NODES.forEach(simulation.controllers::startOlderVersion);
        simulation.run(5);
        for (int n = 0; n < 4; n++) {
            simulation.users.submit(Workloads.mixedJob(simulation, n));
        }
        for (int i = 0; i < 3; i++) {
            String node = NODES.get(i);
            simulation.at(5_000 + i * 10_000L, () -> simulation.controllers.upgrade(node, 4));
        }
        // A process that crashes before its upgrade restarts with the older version.
        simulation.at(8_000, () -> simulation.controllers.crashFor(NODES.get(2), 1));
        simulation.at(20_000, () -> simulation.controllers.crashFor(NODES.get(0), 1));
        simulation.run(22);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 10));
        simulation.run(1);
        SimulatedJob dependent = simulation.users.submit(
                simulation.users.job("blue", "batch", 1, 1, 5).dependingOn(root));
        simulation.run(5);
        assertFalse(dependent.accepted(), "seed " + seed);
        simulation.run(120);
        assertEquals("done", dependent.status(), "seed " + seed);
        Workloads.assertEveryJobDone(simulation, seed);
    }

    /**
     * Both versions run at the same time, faults occur, and leadership changes from the older to the newer version and
     * back.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobsCompleteDespiteFaultsDuringRollingUpgrade(int seed) {
        Simulation simulation = new Simulation(seed);
        NODES.forEach(simulation.controllers::startOlderVersion);
        for (int i = 0; i < 12; i++) {
            int n = i;
            simulation.at(3_000 + i * 5_000L, () -> simulation.users.submit(Workloads.mixedJob(simulation, n)));
        }
        simulation.run(30);
        for (int i = 0; i < 3; i++) {
            String node = NODES.get(i);
            simulation.at(i * 12_000L, () -> simulation.controllers.upgrade(node, 4));
        }
        simulation.at(6_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
        simulation.at(
                15_000,
                () -> simulation.network.setOneWay(leader(simulation), Network.KEY_VALUE_STORE, LinkState.LOST));
        for (String node : NODES) {
            simulation.at(
                    27_000, () -> simulation.network.setOneWay(node, Network.KEY_VALUE_STORE, LinkState.CONNECTED));
        }
        simulation.at(18_000, () -> simulation.users.jobs().forEach(job -> {
            if (job.accepted() && job.tasks() == 12 && !job.status().equals("done")) {
                simulation.users.cancel(job);
            }
        }));
        simulation.at(28_000, () -> simulation.store.outage(20));
        simulation.at(30_000, () -> simulation.controllers.crashFor(leader(simulation), 2));
        simulation.run(55);
        List<DependencyChain> chains = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            chains.add(new DependencyChain(simulation).submit());
            simulation.run(12);
        }
        simulation.controllers.crashFor(leader(simulation), 3);
        simulation.users.cancel(chains.get(0).firstStage);
        simulation.at(20_000, simulation.invariants::faultsEnded);
        simulation.run(250);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : simulation.users.jobs()) {
            assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.jobId());
        }
        assertEquals("done", chains.get(1).lastStage.status(), "seed " + seed);
    }
}
