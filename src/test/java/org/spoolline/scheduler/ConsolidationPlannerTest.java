package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.simulation.Simulation;

/** Tests which machines are evacuated while no job waits for capacity. */
class ConsolidationPlannerTest {
    private final SchedulerFixture fixture = new SchedulerFixture(16);

    private static Pipeline job(String jobId, int tasks, double cores, double checkpointS, long acceptedAt)
            throws Exception {
        return SchedulerFixture.job(jobId, "blue", "batch", "standard", tasks, cores, checkpointS, acceptedAt);
    }

    /** Adds a machine that has run the only task of a new job for 60 s. */
    private void addMachineRunning(String name, double cores, double checkpointS) throws Exception {
        fixture.running(
                        name,
                        job("run-00000" + fixture.machines.size(), 1, cores, checkpointS, Simulation.START_OF_DAY),
                        60)
                .recordImageUse("img", 1, 20);
    }

    private Set<String> machinesToEvacuate(boolean mayConsolidate) {
        return fixture.plan(Set.of(), mayConsolidate).evacuated();
    }

    @Test
    void evacuatesLeastUsedMachineOfTasksWithCheckpoints() throws Exception {
        addMachineRunning("full", 12, 0);
        addMachineRunning("sparse", 4, 15);
        addMachineRunning("sparse-2", 4, 15);
        assertEquals(Set.of("sparse"), machinesToEvacuate(true));
        assertEquals(Set.of(), machinesToEvacuate(false));
    }

    @Test
    void doesNotMoveTasksWithoutCheckpoints() throws Exception {
        addMachineRunning("full", 12, 0);
        addMachineRunning("sparse", 4, 0);
        assertEquals(Set.of(), machinesToEvacuate(true));
    }

    /** Guards against a consolidation that makes the next jobs wait for machines to boot. */
    @Test
    void keepsCapacityForRecentDemandFree() throws Exception {
        addMachineRunning("full", 12, 0);
        addMachineRunning("sparse", 4, 15);
        Pipeline recent = job("run-000009", 4, 4, 0, Simulation.START_OF_DAY + 50_000);
        recent.cancel();
        fixture.jobs.add(recent);
        assertEquals(Set.of(), machinesToEvacuate(true));
    }
}
