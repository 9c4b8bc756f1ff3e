package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A team without a guarantee and without a limit may use idle capacity, and must be preempted when a team within its
 * guarantee needs that capacity.
 */
class GuestTeamTest {
    private static final String GUEST = "guest";

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void guestTeamUsesIdleCapacityAndIsPreemptedForGuarantee(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.cloud.capacity = 1;
        simulation.run(3);
        SimulatedJob guestJob = simulation.users.submit(simulation
                .users
                .job(GUEST, "batch", 150, 2, 25)
                .with("urgency", "best_effort")
                .with("bookmarkS", 5.0)
                .with("stashS", 1.0));
        simulation.run(40);
        assertTrue(simulation.invariants.starts() > 20, "expected tasks of the guest team on the idle machines");
        SimulatedJob guaranteedJob = simulation.users.submit(simulation.users.job("blue", "batch", 8, 4, 15));
        simulation.run(60);
        assertEquals("done", guaranteedJob.status(), "seed " + seed);
        simulation.run(300);
        assertEquals("done", guestJob.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    /** Many small jobs of a team without a limit must all be accepted and complete. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void manySmallGuestJobsComplete(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        for (int i = 0; i < 120; i++) {
            simulation.at(i * 100L, () -> simulation.users.submit(simulation.users.job(GUEST, "batch", 1, 0.25, 20)));
        }
        simulation.run(150);
        for (SimulatedJob job : simulation.users.jobs()) {
            assertEquals("done", job.status(), "seed " + seed + ": " + job.jobId());
        }
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }
}
