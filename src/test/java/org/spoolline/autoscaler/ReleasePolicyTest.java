package org.spoolline.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.simulation.Simulation;

/** Tests the reasons for which machines are released, and which idle machines are retained. */
class ReleasePolicyTest {
    private static final long NOW = 1_000_000;
    private static final long BOOT_MS = 10_000;
    private static final MachineType TYPE =
            new MachineType("type", 8, 0, 64, 20, 1, 1, 0.4, BOOT_MS / 1000.0, List.of("a"));

    private final Settings settings = new Simulation(1).settings("node-0");

    private ReleasePolicy policy(double recentDemandCores, boolean holdsWork) {
        return new ReleasePolicy(
                settings,
                Map.of(TYPE.name(), TYPE),
                new ReleasePolicy.Input(0, recentDemandCores, name -> holdsWork, NOW));
    }

    private static Machine machine(long knownSince) {
        return new Machine("m-1", TYPE.name(), "a", false, knownSince);
    }

    /** Returns a machine known since time 0 whose last heartbeat was received {@code agoMs} before now. */
    private static Machine machineWithHeartbeat(long agoMs) {
        Machine machine = machine(0);
        Heartbeat heartbeat = new Heartbeat("m-1", "m-1:9", TYPE.name(), "a", false, 1, 1, 0, null, List.of());
        machine.accept(heartbeat, 16_000, NOW - agoMs);
        return machine;
    }

    @Test
    void releasesMachineWithoutHeartbeatAfterBootTimeout() {
        long timeoutMs = (long) (BOOT_MS * Constants.Autoscaling.BOOT_TIMEOUT_FACTOR);
        assertEquals(Optional.empty(), policy(0, false).reasonToRelease(machine(NOW - timeoutMs)));
        assertEquals(
                Optional.of(ReleaseReason.BOOT_TIMEOUT),
                policy(0, false).reasonToRelease(machine(NOW - timeoutMs - 1)));
    }

    @Test
    void releasesMachineAfterHeartbeatTimeout() {
        Machine machine = machineWithHeartbeat(Constants.Autoscaling.MACHINE_LOST_MS + 1);
        assertEquals(
                Optional.of(ReleaseReason.HEARTBEAT_TIMEOUT), policy(0, false).reasonToRelease(machine));
    }

    @Test
    void keepsMachineWithWorkAndMarksItBusy() {
        Machine machine = machineWithHeartbeat(Constants.Autoscaling.MACHINE_LOST_MS + 1);
        assertEquals(Optional.empty(), policy(0, true).reasonToRelease(machine));
        assertEquals(NOW, machine.idleSince());
    }

    @Test
    void keepsIdleMachineForRecentDemandUpToBootTime() {
        Machine machine = machineWithHeartbeat(0);
        machine.markBusy(NOW - BOOT_MS);
        assertEquals(Optional.of(ReleaseReason.IDLE), policy(7, false).reasonToRelease(machine));
        assertEquals(Optional.empty(), policy(8, false).reasonToRelease(machine));
        machine.markBusy(NOW - BOOT_MS - 1);
        assertEquals(Optional.of(ReleaseReason.IDLE), policy(8, false).reasonToRelease(machine));
    }

    @Test
    void keepsIdleMachinesOnlyUpToRecentDemand() {
        Machine machine = machineWithHeartbeat(0);
        machine.markBusy(NOW - BOOT_MS);
        ReleasePolicy policy = policy(12, false);
        assertEquals(Optional.empty(), policy.reasonToRelease(machine));
        assertEquals(Optional.of(ReleaseReason.IDLE), policy.reasonToRelease(machine));
    }

    @Test
    void releasesDrainedMachineWithoutWork() {
        Machine machine = machineWithHeartbeat(0);
        machine.markBusy(NOW);
        assertEquals(Optional.empty(), policy(0, false).reasonToRelease(machine));
        machine.drain();
        assertEquals(Optional.of(ReleaseReason.DRAINED), policy(0, false).reasonToRelease(machine));
    }
}
