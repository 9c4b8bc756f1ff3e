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

    private static Cekk.State trip() {
        return Cekk.start(new Flow.Seq(List.of(
                act("course"),
                new Flow.Fork("join", List.of(new Flow.Or(List.of(act("hotel-b"), act("hotel-c"))), act("flight"))),
                act("approval"))));
    }

    @Test
    void successPopsTheSuccessStackAndAJoinWaitsForAllBranches() {
        Cekk.State s = Cekk.succeeded(trip(), "course");
        assertEquals(List.of("hotel-b", "flight"), s.active());
        s = Cekk.succeeded(s, "flight");
        assertEquals(List.of("hotel-b"), s.active());
        s = Cekk.succeeded(s, "hotel-b");
        assertEquals(List.of("approval"), s.active());
        s = Cekk.succeeded(s, "approval");
        assertEquals(Cekk.End.SUCCEEDED, s.end());
    }

    @Test
    void failureTakesTheNextAlternativeWithTheStacksAsTheyWere() {
        Cekk.State s = Cekk.failed(Cekk.succeeded(trip(), "course"), "hotel-b");
        assertEquals(List.of("flight", "hotel-c"), s.active());
        s = Cekk.succeeded(Cekk.succeeded(s, "hotel-c"), "flight");
        assertEquals(List.of("approval"), s.active());
    }

    @Test
    void withNoAlternativeLeftSiblingsAreWaitedForAndDependentsCancelled() {
        Cekk.State s = Cekk.failed(Cekk.succeeded(trip(), "course"), "flight");
        assertTrue(s.failing());
        assertEquals(List.of("hotel-b"), s.active());
        assertEquals(Cekk.End.RUNNING, s.end());
        assertEquals(Cekk.Status.CANCELLED, s.statuses().get("approval"));
        s = Cekk.succeeded(s, "hotel-b");
        assertEquals(Cekk.End.FAILED, s.end());
    }

    @Test
    void anEndlessClosureRegeneratesItself() {
        Stack endless =
                Stack.BOTTOM.push(new Flow.OrClosure(new Flow.Or(List.of(act("x"))), Stack.BOTTOM, Stack.BOTTOM, true));
        Cekk.State s = Cekk.start(act("x"), endless);
        for (int i = 0; i < 5; i++) {
            s = Cekk.failed(s, "x");
            assertEquals(List.of("x"), s.active());
        }
        assertEquals(Cekk.End.SUCCEEDED, Cekk.succeeded(s, "x").end());
    }

    @Test
    void anUnknownOrRepeatedActivityChangesNothing() {
        Cekk.State s = Cekk.succeeded(trip(), "course");
        assertEquals(s, Cekk.succeeded(s, "course"));
        assertEquals(s, Cekk.failed(s, "nothing"));
    }

    @Test
    void statesSurviveTheirEncoding() {
        Cekk.State s = Cekk.failed(Cekk.succeeded(trip(), "course"), "hotel-b");
        assertEquals(s, StackCodec.decode(StackCodec.encode(s)));
        Cekk.State failing = Cekk.failed(s, "flight");
        assertEquals(failing, StackCodec.decode(StackCodec.encode(failing)));
    }
}
