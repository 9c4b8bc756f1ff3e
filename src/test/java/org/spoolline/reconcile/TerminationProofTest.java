package org.spoolline.reconcile;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;

/** What reports prove, above all when they are copies from before a machine's restart. */
class TerminationProofTest {
    private static final long OLD = 2;
    private static final long PRESENT = 3;
    private static final long LEASE_MS = 16_000;
    private static final Attempt ATTEMPT = new Attempt(4, 1, "m", 1);

    private final TerminationProof terminationProof = new TerminationProof(PRESENT, 0, 18_000);
    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private Machine.HeartbeatChange hears(long session, long tick, long token, TaskStatus... tasks) {
        return machine.accept(
                new Heartbeat("m", "m:9", "small", "a", false, session, tick, token, null, List.of(tasks)),
                LEASE_MS,
                1_000);
    }

    private TerminationProof.Verdict verdict() {
        return terminationProof.judge("run-000011", ATTEMPT, machine, 2_000).verdict();
    }

    private static TaskStatus exited() {
        return new TaskStatus("run-000011", 4, 1, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.STOPPED, false);
    }

    /** Such a copy once freed a task that the machine had been given anew: it ran twice. */
    @Test
    void aLaterSessionProvesNothingFromBeforeThePresentLeader() {
        machine.recordResponse(PRESENT, 1_000);
        hears(2, 28, OLD);
        assertEquals(TerminationProof.Verdict.UNKNOWN, verdict());
        hears(2, 29, PRESENT);
        assertEquals(TerminationProof.Verdict.TERMINATED, verdict());
    }

    @Test
    void anEndProvesNothingFromBeforeThePresentLeader() {
        machine.recordResponse(PRESENT, 1_000);
        hears(1, 28, OLD, exited());
        assertEquals(TerminationProof.Verdict.UNKNOWN, verdict());
        hears(1, 29, PRESENT, exited());
        assertEquals(TerminationProof.Verdict.EXITED, verdict());
    }

    /** The attempt was of a life before, in a later session than the machine's present one: it once stayed for ever. */
    @Test
    void anEarlierSessionOfALaterLifeProvesTheEnd() {
        machine.recordResponse(PRESENT, 1_000);
        hears(1, 2, 0);
        Attempt before = new Attempt(4, 1, "m", 2);
        assertEquals(
                TerminationProof.Verdict.UNKNOWN,
                terminationProof.judge("run-000011", before, machine, 2_000).verdict());
        hears(1, 3, PRESENT);
        assertEquals(
                TerminationProof.Verdict.TERMINATED,
                terminationProof.judge("run-000011", before, machine, 2_000).verdict());
    }

    @Test
    void aReportWithALowerTokenThanBeforeIsOfAnotherLife() {
        hears(1, 3, PRESENT);
        assertEquals(Machine.HeartbeatChange.STALE, hears(2, 28, OLD, exited()));
        assertEquals(1, machine.incarnation());
        assertEquals(Machine.HeartbeatChange.UNCHANGED, hears(1, 4, PRESENT));
    }
}
