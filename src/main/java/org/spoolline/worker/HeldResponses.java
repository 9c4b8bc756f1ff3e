package org.spoolline.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.config.Constants;
import org.spoolline.election.StalenessBound;
import org.spoolline.net.EventLoop;

/**
 * Responses that are held for a moment, at most one per machine, so that they can carry launches which the next
 * scheduling cycle commits. Each is released by the cycle, by a later heartbeat of the machine, or by time.
 */
final class HeldResponses {
    private final EventLoop loop;
    private final StalenessBound staleness;
    private final OrderPlanner planner;
    private final HeartbeatResponder responder;
    private final Map<String, PendingResponse> byMachine = new LinkedHashMap<>();

    HeldResponses(EventLoop loop, StalenessBound staleness, OrderPlanner planner, HeartbeatResponder responder) {
        this.loop = loop;
        this.staleness = staleness;
        this.planner = planner;
        this.responder = responder;
    }

    /** True when a response to the machine is held. */
    boolean contains(String machine) {
        return byMachine.containsKey(machine);
    }

    /** Holds the response; none of its machine may be held already. */
    void hold(PendingResponse pending) {
        byMachine.put(pending.machine().name(), pending);
        loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> release(pending));
    }

    /** Answers the machine's held response, if any, without orders: a later heartbeat has come. */
    void answerSuperseded(String machine) {
        PendingResponse superseded = byMachine.remove(machine);
        if (superseded != null) {
            responder.respondWithoutOrders(superseded);
        }
    }

    /** Releases every held response. */
    void releaseAll() {
        for (PendingResponse pending : List.copyOf(byMachine.values())) {
            release(pending);
        }
    }

    /** Releases the responses to machines that have attempts to launch. */
    void releaseWithLaunches() {
        for (PendingResponse pending : List.copyOf(byMachine.values())) {
            if (planner.hasUnreportedAttempt(pending.machine())) {
                release(pending);
            }
        }
    }

    /** Sends the response with orders, or holds it on while a new leader still reads the jobs. */
    private void release(PendingResponse pending) {
        if (!staleness.hasCompleteView()
                && loop.now() - pending.receivedAt() < Constants.Heartbeat.RESPONSE_HOLD_UNTIL_LOADED_MS) {
            loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> release(pending));
        } else if (byMachine.remove(pending.machine().name(), pending)) {
            responder.respondWithOrders(pending);
        }
    }
}
