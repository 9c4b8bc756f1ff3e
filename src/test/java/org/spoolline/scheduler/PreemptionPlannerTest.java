package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.simulation.Simulation;

/** Which attempts are preempted for other jobs, and with what grace period. */
class PreemptionPlannerTest {
    private final SchedulerFixture fixture = new SchedulerFixture(8);

    private static Pipeline job(String jobId, String team, String shape, String urgency, double checkpointS)
            throws Exception {
        return SchedulerFixture.job(jobId, team, shape, urgency, 1, 8, checkpointS, Simulation.START_OF_DAY);
    }

    /** A machine filled by a task with checkpoints that has run for so long. */
    private void filled(String name, double ranS) throws Exception {
        fixture.addMachineRunning(
                name, job("run-00000" + fixture.machines.size(), "red", "batch", "best_effort", 15), ranS);
    }

    private Preemption preemptionFor(Pipeline job) {
        fixture.jobs.add(job);
        SchedulingPlan plan = fixture.plan(Set.of(job.jobId()), false);
        assertEquals(1, plan.preemptions().size());
        return plan.preemptions().get(0);
    }

    @Test
    void aTaskWithARecentCheckpointStopsWithoutGrace() throws Exception {
        filled("m", 33);
        Preemption preemption = preemptionFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(0.0), List.copyOf(preemption.evicted().values()));
    }

    @Test
    void aTaskWithMuchUnsavedWorkGetsGraceForACheckpoint() throws Exception {
        filled("m", 43);
        Preemption preemption = preemptionFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(5.0), List.copyOf(preemption.evicted().values()));
    }

    @Test
    void anArrayWithinItsFairSharePreemptsWhereLeastIsLost() throws Exception {
        // The first two are within their own team's guaranteed share.
        filled("k", 30);
        filled("l", 30);
        filled("m", 40);
        filled("n", 31);
        filled("o", 42);
        assertEquals(
                Set.of("n"),
                preemptionFor(job("run-000009", "blue", "batch", "standard", 0)).machines());
    }
}
