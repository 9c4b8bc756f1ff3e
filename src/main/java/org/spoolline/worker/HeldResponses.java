package org.spoolline.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.config.Constants;
import org.spoolline.election.StalenessBound;
import org.spoolline.net.EventLoop;

/**
 * Holds responses to heartbeats for a short time, so that they can include launches which the next scheduling cycle
 * commits. There is at most one held response per machine. It is sent when the cycle's writes are committed, when a
 * later heartbeat of the machine arrives, or after a timeout.
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

    /** True when a response to this machine is held. */
    boolean contains(String machine) {
        return byMachine.containsKey(machine);
    }

    /** Holds the response. No other response to the same machine may be held. */
    void hold(PendingResponse pending) {
        byMachine.put(pending.machine().name(), pending);
        loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> sendOrExtendHold(pending));
    }

    /** Sends the machine's held response, if any, without orders because a later heartbeat has arrived. */
    void respondToSuperseded(String machine) {
        PendingResponse superseded = byMachine.remove(machine);
        if (superseded != null) {
            responder.respondWithoutOrders(superseded);
        }
    }

    /** Sends all held responses. */
    void sendAll() {
        for (PendingResponse pending : List.copyOf(byMachine.values())) {
            sendOrExtendHold(pending);
        }
    }

    /** Sends the held responses to machines that have attempts to launch. */
    void sendWithLaunches() {
        for (PendingResponse pending : List.copyOf(byMachine.values())) {
            if (planner.hasUnreportedAttempt(pending.machine())) {
                sendOrExtendHold(pending);
            }
        }
    }

    /**
     * Sends the response with orders, or extends the hold for a limited time while a new leader is still reading the
     * live jobs.
     */
    private void sendOrExtendHold(PendingResponse pending) {
        if (!staleness.hasCompleteView()
                && loop.now() - pending.receivedAt() < Constants.Heartbeat.RESPONSE_HOLD_UNTIL_LOADED_MS) {
            loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> sendOrExtendHold(pending));
        } else if (byMachine.remove(pending.machine().name(), pending)) {
            responder.respondWithOrders(pending);
        }
    }
}
