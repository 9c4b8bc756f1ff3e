package org.spoolline.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.AttemptId;

/** Tests how heartbeats, responses and task results change the leader's state of a machine. */
class MachineTest {
    private static final long LEASE_MS = 16_000;
    private static final AttemptId ATTEMPT = new AttemptId("run-1", 0, 1);

    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private Machine.HeartbeatChange accept(
            long incarnation, long number, long token, long now, OptionalDouble noticeS, TaskStatus... tasks) {
        return machine.accept(
                new Heartbeat("m", "m:9", "small", "a", false, incarnation, number, token, noticeS, List.of(tasks)),
                LEASE_MS,
                now);
    }

    private Machine.HeartbeatChange accept(long incarnation, long number, long token, long now, TaskStatus... tasks) {
        return accept(incarnation, number, token, now, OptionalDouble.empty(), tasks);
    }

    private static TaskStatus status(TaskStatus.Phase phase) {
        return new TaskStatus("run-1", 0, 1, phase, null, false);
    }

    @Test
    void hasNoHeartbeatStateBeforeFirstHeartbeat() {
        assertFalse(machine.hasReported());
        assertEquals(-1, machine.lastHeartbeatAt());
        assertEquals(-1, machine.incarnation());
        assertEquals(-1, machine.heartbeatNumber());
        assertEquals(-1, machine.lastResponseAt());
        assertEquals(-1, machine.downlinkUnreachableSince());
        assertEquals("", machine.address());
        assertFalse(machine.hasAcknowledged(0));
        accept(0, 0, 0, 0);
        assertTrue(machine.hasReported());
        assertEquals("m:9", machine.address());
        assertTrue(machine.hasAcknowledged(0));
    }

    @Test
    void ignoresStaleHeartbeats() {
        assertEquals(Machine.HeartbeatChange.CHANGED, accept(1, 5, 3, 100));
        assertEquals(Machine.HeartbeatChange.STALE, accept(1, 5, 3, 200));
        assertEquals(Machine.HeartbeatChange.STALE, accept(0, 9, 3, 200));
        assertEquals(Machine.HeartbeatChange.STALE, accept(2, 0, 2, 200));
        assertEquals(100, machine.lastHeartbeatAt());
        assertEquals(Machine.HeartbeatChange.UNCHANGED, accept(1, 6, 3, 300));
        assertEquals(300, machine.lastHeartbeatAt());
    }

    @Test
    void detectsChangedHeartbeats() {
        accept(1, 1, 3, 0);
        assertEquals(Machine.HeartbeatChange.UNCHANGED, accept(1, 2, 3, 1));
        assertEquals(Machine.HeartbeatChange.CHANGED, accept(1, 3, 4, 2), "higher token");
        assertEquals(Machine.HeartbeatChange.CHANGED, accept(1, 4, 4, 3, status(TaskStatus.Phase.RUNNING)), "new task");
        assertEquals(
                Machine.HeartbeatChange.UNCHANGED, accept(1, 5, 4, 4, status(TaskStatus.Phase.RUNNING)), "same task");
        assertEquals(
                Machine.HeartbeatChange.CHANGED,
                accept(1, 6, 4, 5, OptionalDouble.of(30), status(TaskStatus.Phase.RUNNING)),
                "interruption notice");
        assertEquals(
                Machine.HeartbeatChange.CHANGED,
                accept(1, 7, 4, 6, OptionalDouble.of(30), status(TaskStatus.Phase.RUNNING)),
                "repeated interruption notice");
        assertEquals(
                Machine.HeartbeatChange.CHANGED,
                accept(1, 8, 4, 7, status(TaskStatus.Phase.RUNNING)),
                "withdrawn interruption notice");
        assertEquals(
                Machine.HeartbeatChange.CHANGED,
                accept(2, 0, 4, 8, status(TaskStatus.Phase.RUNNING)),
                "new incarnation");
    }

    @Test
    void downlinkIsUnreachableFromTwoUnacknowledgedResponsesUntilNewToken() {
        accept(1, 1, 3, 0);
        machine.recordResponse(4, 0);
        accept(1, 2, 3, 4_000);
        assertFalse(machine.downlinkUnreachable());
        machine.recordResponse(4, 4_000);
        accept(1, 3, 3, 8_000);
        assertTrue(machine.downlinkUnreachable());
        assertEquals(8_000, machine.downlinkUnreachableSince());
        assertEquals(1, machine.tokenIncrements(), "the token is raised");
        machine.recordResponse(5, 8_000);
        accept(1, 4, 3, 12_000);
        accept(1, 5, 3, 16_000);
        assertEquals(8_000, machine.downlinkUnreachableSince());
        assertEquals(2, machine.tokenIncrements());
        accept(1, 6, 5, 20_000);
        assertFalse(machine.downlinkUnreachable());
        assertEquals(-1, machine.downlinkUnreachableSince());
    }

    @Test
    void onlyAcknowledgedNewTokenResetsUnacknowledgedResponses() {
        accept(1, 1, 3, 0);
        machine.recordResponse(4, 0);
        accept(1, 2, 3, 4_000);
        accept(1, 3, 4, 8_000);
        machine.recordResponse(5, 8_000);
        accept(1, 4, 4, 12_000);
        assertFalse(machine.downlinkUnreachable());
        accept(1, 5, 4, 16_000);
        assertTrue(machine.downlinkUnreachable());
    }

    @Test
    void newIncarnationWithinRenewedLeaseMakesDownlinkUnreachable() {
        accept(1, 1, 3, 0);
        machine.recordResponse(3, 0);
        accept(2, 0, 3, LEASE_MS - 1);
        assertTrue(machine.downlinkUnreachable());
    }

    @Test
    void newIncarnationAfterLeaseExpiryIsInconclusive() {
        accept(1, 1, 3, 0);
        machine.recordResponse(3, 0);
        accept(2, 0, 3, LEASE_MS);
        assertFalse(machine.downlinkUnreachable());
        assertEquals(0, machine.tokenIncrements());
    }

    @Test
    void launchIsPendingUntilNextHeartbeat() {
        assertFalse(accept(1, 1, 3, 0) == Machine.HeartbeatChange.STALE);
        assertFalse(machine.launchPending(ATTEMPT));
        machine.recordLaunch(ATTEMPT);
        assertTrue(machine.launchPending(ATTEMPT));
        accept(1, 2, 3, 1);
        assertFalse(machine.launchPending(ATTEMPT));
        machine.recordLaunch(ATTEMPT);
        accept(2, 0, 3, 2);
        assertFalse(machine.launchPending(ATTEMPT));
    }

    @Test
    void runTimeCountsFromFirstHeartbeatListingTaskAsRunning() {
        accept(1, 1, 3, 1_000, status(TaskStatus.Phase.FETCHING_IMAGE));
        assertEquals(0, machine.observedRunMs(ATTEMPT, 2_000));
        accept(1, 2, 3, 2_000, status(TaskStatus.Phase.RUNNING));
        accept(1, 3, 3, 3_000, status(TaskStatus.Phase.RUNNING));
        assertEquals(1_500, machine.observedRunMs(ATTEMPT, 3_500));
        accept(1, 4, 3, 4_000);
        assertEquals(0, machine.observedRunMs(ATTEMPT, 4_500));
    }

    @Test
    void evictsLeastRecentlyUsedImages() {
        machine.recordImageUse("a", 4, 10);
        machine.recordImageUse("b", 4, 10);
        machine.recordImageUse("a", 4, 10);
        machine.recordImageUse("c", 4, 10);
        assertTrue(machine.hasImage("a"));
        assertFalse(machine.hasImage("b"));
        assertTrue(machine.hasImage("c"));
        machine.recordImageUse("large", 20, 10);
        assertTrue(machine.hasImage("large"));
        assertFalse(machine.hasImage("a"));
        assertFalse(machine.hasImage("c"));
    }

    @Test
    void countsFailedJobsSinceLastCompletion() {
        assertEquals(1, machine.recordTaskFailure("j"));
        assertEquals(1, machine.recordTaskFailure("j"));
        assertEquals(2, machine.recordTaskFailure("k"));
        machine.recordTaskCompletion();
        assertEquals(1, machine.recordTaskFailure("k"));
    }

    @Test
    void probesForLeaderOncePerPeriod() {
        assertTrue(machine.shouldProbeForLeader(0, 100));
        assertFalse(machine.shouldProbeForLeader(100, 100));
        assertTrue(machine.shouldProbeForLeader(101, 100));
    }

    @Test
    void evacuationImpliesDraining() {
        machine.drain();
        assertTrue(machine.draining());
        assertFalse(machine.evacuating());
        machine.evacuate();
        assertTrue(machine.draining());
        assertTrue(machine.evacuating());
    }
}
