package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.simulation.Simulation;

/** Which machines are evacuated while no job waits for capacity. */
class ConsolidationPlannerTest {
    private final SchedulerFixture fixture = new SchedulerFixture(16);

    private static Pipeline job(String jobId, int tasks, double cores, double checkpointS, long acceptedAt)
            throws Exception {
        return SchedulerFixture.job(jobId, "blue", "batch", "standard", tasks, cores, checkpointS, acceptedAt);
    }

    /** A machine on which one task of a job of its own has run for a minute. */
    private void machineWith(String name, double cores, double checkpointS) throws Exception {
        fixture.addMachineRunning(
                        name,
                        job("run-00000" + fixture.machines.size(), 1, cores, checkpointS, Simulation.START_OF_DAY),
                        60)
                .recordImageUse("img", 1, 20);
    }

    private Set<String> evacuated(boolean mayConsolidate) {
        return fixture.plan(Set.of(), mayConsolidate).machinesToEvacuate();
    }

    @Test
    void tasksWithCheckpointsMoveToMachinesThatStayInUse() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 15);
        machineWith("sparse-too", 4, 15);
        assertEquals(Set.of("sparse"), evacuated(true));
        assertEquals(Set.of(), evacuated(false));
    }

    @Test
    void tasksWithoutCheckpointsStay() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 0);
        assertEquals(Set.of(), evacuated(true));
    }

    /** Otherwise the next job would have to wait for a machine to boot. */
    @Test
    void capacityForRecentDemandStaysFree() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 15);
        Pipeline recent = job("run-000009", 4, 4, 0, Simulation.START_OF_DAY + 50_000);
        recent.cancel();
        fixture.jobs.add(recent);
        assertEquals(Set.of(), evacuated(true));
    }
}
