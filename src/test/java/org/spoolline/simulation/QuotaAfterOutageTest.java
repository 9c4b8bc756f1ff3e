package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.metrics.Event;

/**
 * A team must stay within its limit after an outage of the key-value store that is longer than the workers' leases. The
 * team is near its limit, a backlog of gangs is waiting, and the leader may write only a few times a second. The same
 * controller leads after the outage, with machines whose last answered heartbeat is older than a lease. See
 * docs/incidents/quota-after-outage.md.
 */
class QuotaAfterOutageTest {
    private static final double OUTAGE_S = 50;
    private static final int WRITES_PER_S = 30;
    private static final int TEAM_SCALE = 4;

    /**
     * Submits more gangs of team red than its guarantee of 64 cores and its limit of 128 cores hold at a time, and
     * array jobs of team blue.
     */
    private static void submitBacklog(Simulation simulation) {
        for (int i = 0; i < 60; i++) {
            int tasks = 3 + i % 4;
            simulation.at(i * 200L, () -> {
                simulation.users.submit(simulation.users.job("red", "group", tasks, 5, 25));
                simulation.users.submit(simulation.users.job("blue", "batch", 12, 2, 25));
            });
        }
    }

    /** Returns a simulation under load in which an outage of the key-value store has just begun. */
    private static Simulation runUntilOutage(int seed) {
        Simulation simulation = new Simulation(seed, TEAM_SCALE);
        simulation.controllers.limitWrites(WRITES_PER_S);
        simulation.run(3);
        submitBacklog(simulation);
        simulation.run(30 + simulation.random.nextInt(3_000) / 1_000.0);
        assertTrue(simulation.invariants.starts() > 0, "expected tasks to start");
        simulation.store.outage(OUTAGE_S);
        return simulation;
    }

    private static void assertLimitHoldsAfterOutage(Simulation simulation, int seed) {
        int startsBefore = simulation.invariants.starts();
        simulation.run(OUTAGE_S + 40);
        assertTrue(simulation.invariants.starts() > startsBefore, "expected tasks to start after the outage");
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals(0, simulation.controllers.countOnAll(Event.LAUNCH_OF_RELEASED_ATTEMPT), "seed " + seed);
        assertEquals(0, simulation.controllers.countOnAll(Event.TEAM_EXCEEDS_QUOTA), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void limitHoldsAfterOutageBeyondWorkerLease(int seed) {
        assertLimitHoldsAfterOutage(runUntilOutage(seed), seed);
    }

    /**
     * The leader's view of the jobs stays stale for 1 to 3 s after the outage, because its watch responses are lost: it
     * receives heartbeats, but may not answer them yet.
     */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void limitHoldsWhileWatchResponsesAfterOutageAreLost(int seed) {
        Simulation simulation = runUntilOutage(seed);
        String leader = leader(simulation);
        double responsesLostS = 1 + simulation.random.nextDouble() * 2;
        simulation.at((long) (OUTAGE_S * 1_000), () -> simulation.store.loseWatchResponses(leader, responsesLostS));
        assertLimitHoldsAfterOutage(simulation, seed);
    }
}
