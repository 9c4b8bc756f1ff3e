package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The key-value store is down, slow, loses responses or applies commits late. */
class KeyValueStoreFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void shortKeyValueStoreOutage(int seed) {
        runScenario(seed, 260, simulation -> simulation.store.outage(20));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void longKeyValueStoreOutage(int seed) {
        runScenario(seed, 420, simulation -> simulation.store.outage(120));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitResponsesAreLost(int seed) {
        runScenario(seed, 260, simulation -> simulation.store.commitResponsesToLose = 6);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitsAreAppliedLate(int seed) {
        runScenario(seed, 260, simulation -> {
            simulation.store.commitsToDelay = 5;
            simulation.at(20_000, () -> simulation.store.commitsToDelay = 3);
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void keyValueStoreIsSlow(int seed) {
        runScenario(seed, 300, simulation -> {
            simulation.network.slowDown(Network.KEY_VALUE_STORE);
            simulation.at(60_000, () -> simulation.network.restoreSpeed(Network.KEY_VALUE_STORE));
        });
    }

    /**
     * Users poll 700 jobs while the key-value store allows 40 requests/s. If each poll needed one store request, three
     * of four polls would be rejected.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void pollsOfManyJobsStayWithinStoreRateLimit(int seed) {
        Simulation simulation = new Simulation(seed, 1, 40);
        simulation.run(3);
        for (int i = 0; i < 700; i++) {
            simulation.at(i * 100L, () -> simulation.users.submit(simulation.users.job("blue", "batch", 1, 1, 600)));
        }
        simulation.run(90);
        simulation.invariants.faultsEnded();
        simulation.run(240);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertTrue(
                simulation.users.unansweredPolls() * 3 < simulation.users.polls(),
                simulation.users.unansweredPolls() + " of " + simulation.users.polls() + " polls got no status");
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesDuringOutageWhileWorkerHangs(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.store.outage(30);
            busyWorker(simulation).hang(25);
            simulation.at(5_000, () -> simulation.controllers.crashFor(leader(simulation), 4));
        });
    }
}
