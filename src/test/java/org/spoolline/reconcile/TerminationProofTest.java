package org.spoolline.reconcile;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;

/** What heartbeats prove, above all when they are copies from before a machine's restart. */
class TerminationProofTest {
    private static final long FORMER = 2;
    private static final long PRESENT = 3;
    private static final long LEASE_MS = 16_000;
    private static final Attempt ATTEMPT = new Attempt(4, 1, "m", 1);

    private final TerminationProof terminationProof = new TerminationProof(PRESENT, 0, 18_000);
    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private Machine.HeartbeatChange accept(long incarnation, long number, long token, TaskStatus... tasks) {
        return machine.accept(heartbeat(incarnation, number, token, tasks), LEASE_MS, 1_000);
    }

    private static Heartbeat heartbeat(long incarnation, long number, long token, TaskStatus... tasks) {
        return new Heartbeat(
                "m", "m:9", "small", "a", false, incarnation, number, token, OptionalDouble.empty(), List.of(tasks));
    }

    private TerminationProof.AttemptState verdict() {
        return terminationProof.assess("run-000011", ATTEMPT, machine, 2_000).state();
    }

    private static TaskStatus exited() {
        return new TaskStatus("run-000011", 4, 1, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.STOPPED, false);
    }

    /** Such a copy once ended a task that was launched anew on the machine: it ran twice. */
    @Test
    void aLaterIncarnationFromBeforeThePresentLeaderProvesNothing() {
        machine.recordResponse(PRESENT, 1_000);
        accept(2, 28, FORMER);
        assertEquals(TerminationProof.AttemptState.UNKNOWN, verdict());
        accept(2, 29, PRESENT);
        assertEquals(TerminationProof.AttemptState.TERMINATED, verdict());
    }

    @Test
    void anExitFromBeforeThePresentLeaderProvesNothing() {
        machine.recordResponse(PRESENT, 1_000);
        accept(1, 28, FORMER, exited());
        assertEquals(TerminationProof.AttemptState.UNKNOWN, verdict());
        accept(1, 29, PRESENT, exited());
        assertEquals(TerminationProof.AttemptState.EXITED, verdict());
    }

    /**
     * After an outage the worker counts a new incarnation, and the last answer is older than a lease. The next answer renews
     * the lease of that incarnation and may launch the attempt: the expiry of the lease before says nothing about it.
     */
    @Test
    void anExpiredLeaseSaysNothingAboutAnIncarnationFirstHeardOfLater() {
        machine.recordResponse(PRESENT, 1_000);
        machine.accept(heartbeat(2, 28, PRESENT), LEASE_MS, 20_000);
        Attempt placedSince = new Attempt(4, 1, "m", 2);
        assertEquals(
                TerminationProof.AttemptState.ABSENT,
                terminationProof
                        .assess("run-000011", placedSince, machine, 20_500)
                        .state());
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof.assess("run-000011", ATTEMPT, machine, 20_500).state());
        // Unanswered for a lease, that incarnation has ended too.
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof
                        .assess("run-000011", placedSince, machine, 38_001)
                        .state());
    }

    /** The attempt ran before a restart, in a later incarnation than the present one: it once stayed for ever. */
    @Test
    void anEarlierIncarnationAfterARestartProvesTermination() {
        machine.recordResponse(PRESENT, 1_000);
        accept(1, 2, 0);
        Attempt before = new Attempt(4, 1, "m", 2);
        assertEquals(
                TerminationProof.AttemptState.UNKNOWN,
                terminationProof.assess("run-000011", before, machine, 2_000).state());
        accept(1, 3, PRESENT);
        assertEquals(
                TerminationProof.AttemptState.TERMINATED,
                terminationProof.assess("run-000011", before, machine, 2_000).state());
    }

    @Test
    void aHeartbeatWithALowerTokenThanBeforeIsStale() {
        accept(1, 3, PRESENT);
        assertEquals(Machine.HeartbeatChange.STALE, accept(2, 28, FORMER, exited()));
        assertEquals(1, machine.incarnation());
        assertEquals(Machine.HeartbeatChange.UNCHANGED, accept(1, 4, PRESENT));
    }
}
