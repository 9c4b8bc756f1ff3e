package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busyWorker;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;

/** Scale out and scale in while the cloud is down, short of capacity, slow or reclaims machines. */
class CloudFaultsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machinesBootLateOrNever(int seed) {
        runScenario(seed, 400, simulation -> {
            simulation.cloud.bootSeconds = 45;
            simulation.cloud.bootsToFail = 3;
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void spotMachinesArePreemptedWithAndWithoutNotice(int seed) {
        runScenario(seed, 260, simulation -> {
            busyWorker(simulation).preemptWithNotice(8);
            simulation.at(9_000, () -> simulation.cloud.remove(busyWorker(simulation).name));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cloudOutage(int seed) {
        runScenario(seed, 300, simulation -> simulation.cloud.outage(40));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cloudHasLittleCapacity(int seed) {
        runScenario(seed, 500, simulation -> simulation.cloud.capacity = 1);
    }

    /**
     * The leadership lapses while a scale-out request is delayed on its way to the cloud. Once the controller leads
     * again, it must be able to request machines of the same type and zone again.
     */
    @Test
    void scaleOutIsRetriedAfterLeadershipLapse() {
        Simulation simulation = new Simulation(6);
        simulation.run(8);
        String leader = simulation.leader();
        simulation.network.setLink(leader, Network.CLOUD, LinkState.DELAYED);
        submitForSmallMachinesInZoneA(simulation, 400);
        simulation.run(0.5);
        simulation.store.outage(12);
        simulation.run(6);
        simulation.network.setLink(leader, Network.CLOUD, LinkState.CONNECTED);
        simulation.run(30);
        assertEquals(leader, simulation.leader());
        SimulatedJob laterJob = submitForSmallMachinesInZoneA(simulation, 20);
        simulation.run(90);
        assertEquals("done", laterJob.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    private static SimulatedJob submitForSmallMachinesInZoneA(Simulation simulation, double runS) {
        SimulatedJob job = simulation
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
        assertTrue(simulation.workers().values().stream().anyMatch(w -> !w.isDown()));
        simulation.run(200);
        assertTrue(simulation.workers().values().stream().allMatch(FakeWorker::isDown));
    }
}
