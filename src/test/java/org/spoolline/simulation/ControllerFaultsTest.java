package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.runScenario;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Controllers crash, restart and stall while a mixed load runs. */
class ControllerFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesAndAnotherTakesOver(int seed) {
        runScenario(seed, 260, simulation -> simulation.controllers.crashFor(leader(simulation), 6));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesAgainRightAfterRestart(int seed) {
        runScenario(seed, 260, simulation -> {
            String leader = leader(simulation);
            simulation.controllers.crashFor(leader, 0.2);
            simulation.at(500, () -> simulation.controllers.crashFor(leader, 0.2));
            simulation.at(5_200, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void allControllersCrashTogether(int seed) {
        runScenario(seed, 260, simulation -> NODES.forEach(n -> simulation.controllers.crashFor(n, 5)));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void controllersRestartInTurn(int seed) {
        runScenario(seed, 300, simulation -> {
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                simulation.at(i * 15_000L, () -> simulation.controllers.crashFor(node, 5));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void controllersRestartRepeatedlyDuringElection(int seed) {
        runScenario(seed, 300, simulation -> {
            String leader = leader(simulation);
            simulation.controllers.crash(leader);
            for (int i = 0; i < 12; i++) {
                // Around the expiry of the crashed leader's lease, when the other controllers campaign.
                String node = "node-" + i % 3;
                simulation.at(4_000 + i * 170L, () -> simulation.controllers.crashFor(node, 0.1));
            }
            simulation.at(9_000, () -> simulation.controllers.start(leader));
        });
    }

    /**
     * Requests that queue up during a stall must not be answered afterwards on the basis of a leadership that has
     * expired.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderStallsForLongerThanItsLease(int seed) {
        runScenario(seed, 400, simulation -> {
            String leader = leader(simulation);
            simulation.controllers.stall(leader, 24);
            simulation.at(60_000, () -> simulation.controllers.stall(leader(simulation), 3));
            simulation.at(80_000, () -> {
                simulation.controllers.stall(leader(simulation), 26);
                simulation.network.duplicateHeartbeats(20_000);
            });
            simulation.at(130_000, () -> simulation.network.duplicateHeartbeats(0));
        });
    }

    /**
     * A leader that restarts immediately must be elected again without waiting until the lease of its previous process
     * expires.
     */
    @Test
    void restartedLeaderDoesNotWaitForItsOwnLease() {
        Simulation simulation = new Simulation(8);
        simulation.run(12);
        String leader = simulation.leader();
        long token = simulation.store.value("token").path("n").asLong();
        simulation.controllers.crashFor(leader, 0.2);
        simulation.run(2);
        assertEquals(leader, simulation.leader());
        assertTrue(simulation.store.value("token").path("n").asLong() > token);
    }

    /**
     * A new leader that has not received any heartbeats yet must not scale in running machines as if they had failed to
     * boot.
     */
    @Test
    void newLeaderKeepsMachinesThatAreUp() {
        Simulation simulation = new Simulation(4);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 4, 8, 5));
        simulation.run(49);
        long liveBefore =
                simulation.workers().values().stream().filter(w -> !w.isDown()).count();
        assertTrue(liveBefore > 0);
        simulation.controllers.crashFor(leader(simulation), 5);
        simulation.run(8);
        assertEquals(
                liveBefore,
                simulation.workers().values().stream().filter(w -> !w.isDown()).count());
    }
}
