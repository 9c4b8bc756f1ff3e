package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busy;
import static org.spoolline.simulation.Workloads.day;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;

/** Scale out and scale in against a cloud that is down, short of capacity, slow or preempts machines. */
class CloudFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machinesBootLateOrNever(int seed) {
        day(seed, 400, simulation -> {
            simulation.cloud.bootS = 45;
            simulation.cloud.neverUp = 3;
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void spotMachinesArePreemptedWithAndWithoutNotice(int seed) {
        day(seed, 260, simulation -> {
            busy(simulation).notice(8);
            simulation.at(9_000, () -> simulation.cloud.take(busy(simulation).name));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cloudOutage(int seed) {
        day(seed, 300, simulation -> simulation.cloud.outage(40));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cloudHasLittleCapacity(int seed) {
        day(seed, 500, simulation -> simulation.cloud.capacity = 1);
    }

    /** An offer that was requested just before leadership lapsed must be requested again. */
    @Test
    void scaleOutIsRetriedAfterLeadershipLapse() {
        Simulation simulation = new Simulation(6);
        simulation.run(8);
        String leader = simulation.leader();
        simulation.cut(leader, "cloud", Simulation.Cut.HOLD);
        submitForSmallMachinesInZoneA(simulation, 400);
        simulation.run(0.5);
        simulation.store.outage(12);
        simulation.run(6);
        simulation.cut(leader, "cloud", Simulation.Cut.NONE);
        simulation.run(30);
        assertEquals(leader, simulation.leader());
        SimulatedUsers.Job second = submitForSmallMachinesInZoneA(simulation, 20);
        simulation.run(90);
        assertEquals("done", second.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    private static SimulatedUsers.Job submitForSmallMachinesInZoneA(Simulation simulation, double runS) {
        SimulatedUsers.Job job = simulation
                .users
                .job("blue", "batch", 2, 8, runS)
                .with("yard", "a")
                .with("standby", false);
        return simulation.users.submit(job.with("builds", Json.array().add("small")));
    }

    @Test
    void idleMachinesAreScaledIn() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 10, 2, 5));
        simulation.run(60);
        assertTrue(simulation.workers().values().stream().anyMatch(w -> !w.dead()));
        simulation.run(200);
        assertTrue(simulation.workers().values().stream().allMatch(FakeWorker::dead));
    }
}
