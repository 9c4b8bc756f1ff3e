package org.spoolline.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules of the CEKK machine on small pipelines. */
class CekkTest {
    private static Flow act(String name) {
        return new Flow.Activity(name);
    }

    private static CekkMachine.State trip() {
        return CekkMachine.start(new Flow.Seq(List.of(
                act("course"),
                new Flow.Fork("join", List.of(new Flow.Or(List.of(act("hotel-b"), act("hotel-c"))), act("flight"))),
                act("approval"))));
    }

    @Test
    void successPopsTheSuccessStackAndAJoinWaitsForAllBranches() {
        CekkMachine.State s = CekkMachine.succeeded(trip(), "course");
        assertEquals(List.of("hotel-b", "flight"), s.active());
        s = CekkMachine.succeeded(s, "flight");
        assertEquals(List.of("hotel-b"), s.active());
        s = CekkMachine.succeeded(s, "hotel-b");
        assertEquals(List.of("approval"), s.active());
        s = CekkMachine.succeeded(s, "approval");
        assertEquals(CekkMachine.End.SUCCEEDED, s.end());
    }

    @Test
    void failureTakesTheNextAlternativeWithTheStacksAsTheyWere() {
        CekkMachine.State s = CekkMachine.failed(CekkMachine.succeeded(trip(), "course"), "hotel-b");
        assertEquals(List.of("flight", "hotel-c"), s.active());
        s = CekkMachine.succeeded(CekkMachine.succeeded(s, "hotel-c"), "flight");
        assertEquals(List.of("approval"), s.active());
    }

    @Test
    void withNoAlternativeLeftSiblingsAreWaitedForAndDependentsCancelled() {
        CekkMachine.State s = CekkMachine.failed(CekkMachine.succeeded(trip(), "course"), "flight");
        assertTrue(s.failing());
        assertEquals(List.of("hotel-b"), s.active());
        assertEquals(CekkMachine.End.RUNNING, s.end());
        assertEquals(CekkMachine.Status.CANCELLED, s.statuses().get("approval"));
        s = CekkMachine.succeeded(s, "hotel-b");
        assertEquals(CekkMachine.End.FAILED, s.end());
    }

    @Test
    void anEndlessClosureRegeneratesItself() {
        ContinuationStack endless = ContinuationStack.BOTTOM.push(new Flow.OrClosure(
                new Flow.Or(List.of(act("x"))), ContinuationStack.BOTTOM, ContinuationStack.BOTTOM, true));
        CekkMachine.State s = CekkMachine.start(act("x"), endless);
        for (int i = 0; i < 5; i++) {
            s = CekkMachine.failed(s, "x");
            assertEquals(List.of("x"), s.active());
        }
        assertEquals(CekkMachine.End.SUCCEEDED, CekkMachine.succeeded(s, "x").end());
    }

    @Test
    void anUnknownOrRepeatedActivityChangesNothing() {
        CekkMachine.State s = CekkMachine.succeeded(trip(), "course");
        assertEquals(s, CekkMachine.succeeded(s, "course"));
        assertEquals(s, CekkMachine.failed(s, "nothing"));
    }

    @Test
    void statesSurviveTheirEncoding() {
        CekkMachine.State s = CekkMachine.failed(CekkMachine.succeeded(trip(), "course"), "hotel-b");
        assertEquals(s, ContinuationStackCodec.decode(ContinuationStackCodec.encode(s)));
        CekkMachine.State failing = CekkMachine.failed(s, "flight");
        assertEquals(failing, ContinuationStackCodec.decode(ContinuationStackCodec.encode(failing)));
    }
}
