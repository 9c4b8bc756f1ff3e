package org.spoolline.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules of the CEKK machine, applied to small pipelines. */
class CekkTest {
    private static Flow activity(String name) {
        return new Flow.Activity(name);
    }

    private static CekkMachine.State tripBooking() {
        return CekkMachine.start(new Flow.Seq(List.of(
                activity("course"),
                new Flow.Fork(
                        "join",
                        List.of(new Flow.Or(List.of(activity("hotel-b"), activity("hotel-c"))), activity("flight"))),
                activity("approval"))));
    }

    @Test
    void successPopsSuccessStackAndJoinWaitsForAllBranches() {
        CekkMachine.State state = CekkMachine.succeeded(tripBooking(), "course");
        assertEquals(List.of("hotel-b", "flight"), state.awaitedActivities());
        state = CekkMachine.succeeded(state, "flight");
        assertEquals(List.of("hotel-b"), state.awaitedActivities());
        state = CekkMachine.succeeded(state, "hotel-b");
        assertEquals(List.of("approval"), state.awaitedActivities());
        state = CekkMachine.succeeded(state, "approval");
        assertEquals(CekkMachine.PipelineStatus.SUCCEEDED, state.pipelineStatus());
    }

    @Test
    void failureTriesNextAlternativeWithOriginalStacks() {
        CekkMachine.State state = CekkMachine.failed(CekkMachine.succeeded(tripBooking(), "course"), "hotel-b");
        assertEquals(List.of("flight", "hotel-c"), state.awaitedActivities());
        state = CekkMachine.succeeded(CekkMachine.succeeded(state, "hotel-c"), "flight");
        assertEquals(List.of("approval"), state.awaitedActivities());
    }

    @Test
    void failureWithoutAlternativeCancelsDependentsAndAwaitsSiblings() {
        CekkMachine.State state = CekkMachine.failed(CekkMachine.succeeded(tripBooking(), "course"), "flight");
        assertTrue(state.failing());
        assertEquals(List.of("hotel-b"), state.awaitedActivities());
        assertEquals(CekkMachine.PipelineStatus.RUNNING, state.pipelineStatus());
        assertEquals(CekkMachine.Status.CANCELLED, state.statuses().get("approval"));
        state = CekkMachine.succeeded(state, "hotel-b");
        assertEquals(CekkMachine.PipelineStatus.FAILED, state.pipelineStatus());
    }

    @Test
    void endlessOrClosureRetriesAfterEachFailure() {
        ContinuationStack retryingStack = ContinuationStack.BOTTOM.push(new Flow.OrClosure(
                new Flow.Or(List.of(activity("x"))), ContinuationStack.BOTTOM, ContinuationStack.BOTTOM, true));
        CekkMachine.State state = CekkMachine.start(activity("x"), retryingStack);
        for (int i = 0; i < 5; i++) {
            state = CekkMachine.failed(state, "x");
            assertEquals(List.of("x"), state.awaitedActivities());
        }
        assertEquals(
                CekkMachine.PipelineStatus.SUCCEEDED,
                CekkMachine.succeeded(state, "x").pipelineStatus());
    }

    @Test
    void ignoresUnknownOrCompletedActivity() {
        CekkMachine.State state = CekkMachine.succeeded(tripBooking(), "course");
        assertEquals(state, CekkMachine.succeeded(state, "course"));
        assertEquals(state, CekkMachine.failed(state, "nothing"));
    }

    @Test
    void statesRoundTripThroughCodec() {
        CekkMachine.State state = CekkMachine.failed(CekkMachine.succeeded(tripBooking(), "course"), "hotel-b");
        assertEquals(state, ContinuationStackCodec.decode(ContinuationStackCodec.encode(state)));
        CekkMachine.State failing = CekkMachine.failed(state, "flight");
        assertEquals(failing, ContinuationStackCodec.decode(ContinuationStackCodec.encode(failing)));
    }
}
