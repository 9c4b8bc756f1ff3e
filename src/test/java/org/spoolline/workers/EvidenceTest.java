package org.spoolline.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.pipeline.Attempt;

/** What reports prove, above all when they are copies from before a machine's restart. */
class EvidenceTest {
    private static final long OLD = 2;
    private static final long PRESENT = 3;
    private static final long LEASE_MS = 16_000;
    private static final Attempt ATTEMPT = new Attempt(4, 1, "m", 1);

    private final Evidence evidence = new Evidence(PRESENT, 0, 18_000);
    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private Machine.Brings hears(long session, long tick, long token, TaskReport... tasks) {
        return machine.accept(
                new Report("m", "m:9", "small", "a", false, session, tick, token, null, List.of(tasks)),
                LEASE_MS,
                1_000);
    }

    private Evidence.Verdict verdict() {
        return evidence.judge("run-000011", ATTEMPT, machine, 2_000).verdict();
    }

    private static TaskReport exited() {
        return new TaskReport("run-000011", 4, 1, TaskReport.Phase.EXITED, TaskReport.Cause.STOPPED, false);
    }

    /** Such a copy once freed a task that the machine had been given anew: it ran twice. */
    @Test
    void aLaterSessionProvesNothingFromBeforeThePresentLeader() {
        machine.answered(PRESENT, 1_000);
        hears(2, 28, OLD);
        assertEquals(Evidence.Verdict.UNKNOWN, verdict());
        hears(2, 29, PRESENT);
        assertEquals(Evidence.Verdict.GONE, verdict());
    }

    @Test
    void anEndProvesNothingFromBeforeThePresentLeader() {
        machine.answered(PRESENT, 1_000);
        hears(1, 28, OLD, exited());
        assertEquals(Evidence.Verdict.UNKNOWN, verdict());
        hears(1, 29, PRESENT, exited());
        assertEquals(Evidence.Verdict.EXITED, verdict());
    }

    /** The attempt was of a life before, in a later session than the machine's present one: it once stayed for ever. */
    @Test
    void anEarlierSessionOfALaterLifeProvesTheEnd() {
        machine.answered(PRESENT, 1_000);
        hears(1, 2, 0);
        Attempt before = new Attempt(4, 1, "m", 2);
        assertEquals(
                Evidence.Verdict.UNKNOWN,
                evidence.judge("run-000011", before, machine, 2_000).verdict());
        hears(1, 3, PRESENT);
        assertEquals(
                Evidence.Verdict.GONE,
                evidence.judge("run-000011", before, machine, 2_000).verdict());
    }

    @Test
    void aReportWithALowerTokenThanBeforeIsOfAnotherLife() {
        hears(1, 3, PRESENT);
        assertEquals(Machine.Brings.NOTHING, hears(2, 28, OLD, exited()));
        assertEquals(1, machine.session());
        assertEquals(Machine.Brings.A_SIGN_OF_LIFE, hears(1, 4, PRESENT));
    }
}
