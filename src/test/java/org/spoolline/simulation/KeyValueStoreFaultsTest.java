package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busy;
import static org.spoolline.simulation.Workloads.day;
import static org.spoolline.simulation.Workloads.leader;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The key-value store is down, slow, loses responses or applies commits late. */
class KeyValueStoreFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void shortKeyValueStoreOutage(int seed) {
        day(seed, 260, simulation -> simulation.store.outage(20));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void longKeyValueStoreOutage(int seed) {
        day(seed, 420, simulation -> simulation.store.outage(120));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitResponsesAreLost(int seed) {
        day(seed, 260, simulation -> simulation.store.answersToLose = 6);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitsAreAppliedLate(int seed) {
        day(seed, 260, simulation -> {
            simulation.store.commitsToDelay = 5;
            simulation.at(20_000, () -> simulation.store.commitsToDelay = 3);
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void keyValueStoreIsSlow(int seed) {
        day(seed, 300, simulation -> {
            simulation.slow("state", true);
            simulation.at(60_000, () -> simulation.slow("state", false));
        });
    }

    /** One store request per poll would get three polls in four rejected here. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void pollsOfManyJobsStayWithinStoreRateLimit(int seed) {
        Simulation simulation = new Simulation(seed, 1, 40);
        simulation.run(3);
        for (int i = 0; i < 700; i++) {
            simulation.at(i * 100L, () -> simulation.users.submit(simulation.users.job("blue", "batch", 1, 1, 600)));
        }
        simulation.run(90);
        simulation.invariants.troublesAreOver();
        simulation.run(240);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        assertTrue(
                simulation.users.pollsInVain * 3 < simulation.users.polls,
                simulation.users.pollsInVain + " of " + simulation.users.polls + " polls in vain");
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesDuringOutageWhileWorkerHangs(int seed) {
        day(seed, 400, simulation -> {
            simulation.store.outage(30);
            busy(simulation).hang(25);
            simulation.at(5_000, () -> simulation.crashFor(leader(simulation), 4));
        });
    }
}
