package org.spoolline.reconcile;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;

/**
 * Checks what heartbeats and lease expiry prove about an attempt, in particular for delayed copies of heartbeats from
 * before a restart of the machine.
 */
class TerminationProofTest {
    private static final long FORMER_TOKEN = 2;
    private static final long CURRENT_TOKEN = 3;
    private static final long LEASE_MS = 16_000;
    private static final Attempt ATTEMPT = new Attempt(4, 1, "m", 1);

    private final TerminationProof terminationProof = new TerminationProof(CURRENT_TOKEN, 0, 18_000);
    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private Machine.HeartbeatChange accept(long incarnation, long number, long token, TaskStatus... tasks) {
        return machine.accept(heartbeat(incarnation, number, token, tasks), LEASE_MS, 1_000);
    }

    private static Heartbeat heartbeat(long incarnation, long number, long token, TaskStatus... tasks) {
        return new Heartbeat(
                "m", "m:9", "small", "a", false, incarnation, number, token, OptionalDouble.empty(), List.of(tasks));
    }

    private TerminationProof.AttemptState assessedState() {
        return terminationProof.assess("run-000011", ATTEMPT, machine, 2_000).state();
    }

    private static TaskStatus exited() {
        return new TaskStatus("run-000011", 4, 1, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.STOPPED, false);
    }

    /**
     * If a delayed heartbeat from before a restart proved termination, an attempt that was launched after the restart
     * would be treated as ended and its task would run twice.
     */
    @Test
    void ignoresLaterIncarnationWithFormerToken() {
        machine.recordResponse(CURRENT_TOKEN, 1_000);
        accept(2, 28, FORMER_TOKEN);
        assertEquals(TerminationProof.AttemptState.UNKNOWN, assessedState());
        accept(2, 29, CURRENT_TOKEN);
        assertEquals(TerminationProof.AttemptState.TERMINATED, assessedState());
    }

    @Test
    void ignoresExitWithFormerToken() {
        machine.recordResponse(CURRENT_TOKEN, 1_000);
        accept(1, 28, FORMER_TOKEN, exited());
        assertEquals(TerminationProof.AttemptState.UNKNOWN, assessedState());
        accept(1, 29, CURRENT_TOKEN, exited());
        assertEquals(TerminationProof.AttemptState.EXITED, assessedState());
    }

    /**
     * After an outage the worker starts a new incarnation, and the last response is older than a lease. The next
     * response renews the lease of the new incarnation and may launch an attempt in it. The expiry of the previous
     * lease must not prove that this attempt has ended.
     */
    @Test
    void earlierLeaseExpiryDoesNotEndNewIncarnation() {
        machine.recordResponse(CURRENT_TOKEN, 1_000);
        machine.accept(heartbeat(2, 28, CURRENT_TOKEN), LEASE_MS, 20_000);
        Attempt newAttempt = new Attempt(4, 1, "m", 2);
        assertEquals(
                TerminationProof.AttemptState.ABSENT,
                terminationProof
                        .assess("run-000011", newAttempt, machine, 20_500)
                        .state());
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof.assess("run-000011", ATTEMPT, machine, 20_500).state());
        // Without a response for the duration of a lease, the new incarnation has ended too.
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof
                        .assess("run-000011", newAttempt, machine, 38_001)
                        .state());
    }

    /**
     * A restart resets the machine's incarnation number, so the attempt has a higher incarnation than the current
     * one. If this proved nothing, the attempt would count as running forever.
     */
    @Test
    void earlierIncarnationAfterRestartProvesTermination() {
        machine.recordResponse(CURRENT_TOKEN, 1_000);
        accept(1, 2, 0);
        Attempt attemptBeforeRestart = new Attempt(4, 1, "m", 2);
        assertEquals(
                TerminationProof.AttemptState.UNKNOWN,
                terminationProof
                        .assess("run-000011", attemptBeforeRestart, machine, 2_000)
                        .state());
        accept(1, 3, CURRENT_TOKEN);
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof
                        .assess("run-000011", attemptBeforeRestart, machine, 2_000)
                        .state());
    }

    @Test
    void heartbeatWithLowerTokenIsStale() {
        accept(1, 3, CURRENT_TOKEN);
        assertEquals(Machine.HeartbeatChange.STALE, accept(2, 28, FORMER_TOKEN, exited()));
        assertEquals(1, machine.incarnation());
        assertEquals(Machine.HeartbeatChange.UNCHANGED, accept(1, 4, CURRENT_TOKEN));
    }
}
