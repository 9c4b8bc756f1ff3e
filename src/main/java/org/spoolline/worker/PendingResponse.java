package org.spoolline.worker;

import java.util.function.Consumer;
import org.spoolline.cluster.Machine;
import org.spoolline.net.Http;

/**
 * The response that is still to be sent to an accepted heartbeat. Instances are compared by identity: each heartbeat
 * of a machine has its own instance.
 */
final class PendingResponse {
    private final Machine machine;
    private final long incarnation;
    private final long heartbeatNumber;
    private final long receivedAt;
    private final Consumer<Http.Response> responder;

    /**
     * Creates the response to the machine's last heartbeat, received at {@code receivedAt} in ms of the event loop's
     * clock.
     */
    PendingResponse(Machine machine, long receivedAt, Consumer<Http.Response> responder) {
        this.machine = machine;
        this.incarnation = machine.incarnation();
        this.heartbeatNumber = machine.heartbeatNumber();
        this.receivedAt = receivedAt;
        this.responder = responder;
    }

    /** The machine that sent the heartbeat. */
    Machine machine() {
        return machine;
    }

    /** When the heartbeat was received, in ms of the event loop's clock. */
    long receivedAt() {
        return receivedAt;
    }

    /**
     * True when no later heartbeat of the machine has been accepted since. Only then do orders that are computed from
     * the machine's last heartbeat apply to this response.
     */
    boolean isForLastHeartbeat() {
        return machine.incarnation() == incarnation && machine.heartbeatNumber() == heartbeatNumber;
    }

    /** Sends the response; must be called exactly once. */
    void send(Http.Response response) {
        responder.accept(response);
    }
}
