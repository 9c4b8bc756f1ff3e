package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.simulation.Simulation;

/** Tests which attempts are preempted for other jobs, and with what grace period. */
class PreemptionPlannerTest {
    private final SchedulerFixture fixture = new SchedulerFixture(8);

    private static Pipeline job(String jobId, String team, String shape, String urgency, double checkpointS)
            throws Exception {
        return SchedulerFixture.job(jobId, team, shape, urgency, 1, 8, checkpointS, Simulation.START_OF_DAY);
    }

    /** Adds a machine that is fully used by one task with checkpoints, which has run for {@code runTimeS} seconds. */
    private void addFullMachine(String name, double runTimeS) throws Exception {
        fixture.addMachineRunning(
                name, job("run-00000" + fixture.machines.size(), "red", "batch", "best_effort", 15), runTimeS);
    }

    private Preemption preemptionFor(Pipeline job) {
        fixture.jobs.add(job);
        SchedulingPlan plan = fixture.plan(Set.of(job.jobId()), false);
        assertEquals(1, plan.preemptions().size());
        return plan.preemptions().get(0);
    }

    @Test
    void stopsTaskWithRecentCheckpointWithoutGrace() throws Exception {
        addFullMachine("m", 33);
        Preemption preemption = preemptionFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(0.0), List.copyOf(preemption.evicted().values()));
    }

    @Test
    void grantsGraceForCheckpointOfMuchUnsavedWork() throws Exception {
        addFullMachine("m", 43);
        Preemption preemption = preemptionFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(5.0), List.copyOf(preemption.evicted().values()));
    }

    @Test
    void arrayJobWithinFairSharePreemptsLeastLoss() throws Exception {
        // The jobs on the first two machines are within the guaranteed share of their own team.
        addFullMachine("k", 30);
        addFullMachine("l", 30);
        addFullMachine("m", 40);
        addFullMachine("n", 31);
        addFullMachine("o", 42);
        assertEquals(
                Set.of("n"),
                preemptionFor(job("run-000009", "blue", "batch", "standard", 0)).machines());
    }
}
