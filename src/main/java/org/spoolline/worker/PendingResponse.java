package org.spoolline.worker;

import java.util.function.Consumer;
import org.spoolline.cluster.Machine;
import org.spoolline.net.Http;

/**
 * An accepted heartbeat that awaits its one response. Compared by identity: a machine's later heartbeat makes another
 * one.
 */
final class PendingResponse {
    private final Machine machine;
    private final long incarnation;
    private final long heartbeatNumber;
    private final long receivedAt;
    private final Consumer<Http.Response> answer;

    /** A response to the machine's last heartbeat, which came at {@code receivedAt} on the loop's clock. */
    PendingResponse(Machine machine, long receivedAt, Consumer<Http.Response> answer) {
        this.machine = machine;
        this.incarnation = machine.incarnation();
        this.heartbeatNumber = machine.heartbeatNumber();
        this.receivedAt = receivedAt;
        this.answer = answer;
    }

    /** The machine that sent the heartbeat. */
    Machine machine() {
        return machine;
    }

    /** When the heartbeat came, in ms of the loop's clock. */
    long receivedAt() {
        return receivedAt;
    }

    /** True when no later heartbeat has come since: orders computed from the last one fit this response only then. */
    boolean answersLastHeartbeat() {
        return machine.incarnation() == incarnation && machine.heartbeatNumber() == heartbeatNumber;
    }

    /** Sends the response; called once. */
    void send(Http.Response response) {
        answer.accept(response);
    }
}
