package org.spoolline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.world.World;

/** Who leaves for others, and with what grace. */
class PreemptionTest {
    private final Fixture fixture = new Fixture(8);

    private static Pipeline job(String uid, String team, String shape, String urgency, double checkpointS)
            throws Exception {
        return Fixture.job(uid, team, shape, urgency, 1, 8, checkpointS, World.START_OF_DAY);
    }

    /** A machine that a task with checkpoints fills, which has run for so long. */
    private void filled(String name, double ranS) throws Exception {
        fixture.running(name, job("run-00000" + fixture.machines.size(), "red", "batch", "best_effort", 15), ranS);
    }

    private Placer.Clearing clearingFor(Pipeline job) {
        fixture.jobs.add(job);
        Placer.Plan plan = fixture.plan(Set.of(job.uid()), false);
        assertEquals(1, plan.clearings().size());
        return plan.clearings().get(0);
    }

    @Test
    void aTaskThatHasJustSavedLeavesAtOnce() throws Exception {
        filled("m", 33);
        Placer.Clearing clearing = clearingFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(0.0), List.copyOf(clearing.leaving().values()));
    }

    @Test
    void aTaskWithMuchToLoseSavesFirst() throws Exception {
        filled("m", 43);
        Placer.Clearing clearing = clearingFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(5.0), List.copyOf(clearing.leaving().values()));
    }

    @Test
    void anArrayWithinItsGuaranteeTakesRoomWhereLeastIsLost() throws Exception {
        // The first two are within their own team's guarantee.
        filled("k", 30);
        filled("l", 30);
        filled("m", 40);
        filled("n", 31);
        filled("o", 42);
        assertEquals(
                Set.of("n"),
                clearingFor(job("run-000009", "blue", "batch", "standard", 0)).machines());
    }
}
