package org.spoolline.worker;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Makes machines send a heartbeat at once, so that orders reach them without waiting for the next regular one: a command
 * without orders that shows a raised token. It starts and stops nothing, so it may arrive however late. A worker reacts
 * to a raised token once per half of its lease.
 *
 * <p>Each request takes a socket, and sockets are few: only so many are in flight at once, and the rest wait their turn.
 */
final class EarlyHeartbeatRequests {
    private final EventLoop loop;
    private final Http.Caller http;
    private final LeaderElection election;
    private final MachineRegistry machines;
    private final HeldResponses heldResponses;
    private final int maxInFlight;
    private final long minIntervalMs;
    private final Set<String> pending = new LinkedHashSet<>();
    private int inFlight;

    EarlyHeartbeatRequests(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            LeaderElection election,
            MachineRegistry machines,
            HeldResponses heldResponses) {
        this.loop = loop;
        this.http = http;
        this.election = election;
        this.machines = machines;
        this.heldResponses = heldResponses;
        this.maxInFlight = settings.maxEarlyHeartbeatRequests();
        this.minIntervalMs = settings.workers().leaseMs() / 2 + Constants.Time.MARGIN_MS;
    }

    /** Requests a heartbeat of each machine, now or once earlier requests are answered. */
    void request(Collection<String> machineNames) {
        pending.addAll(machineNames);
        sendPending();
    }

    /** Drops a request that waits for its turn: the machine has just sent a heartbeat. */
    void cancel(String name) {
        pending.remove(name);
    }

    private void sendPending() {
        while (inFlight < maxInFlight && !pending.isEmpty()) {
            String name = pending.iterator().next();
            pending.remove(name);
            Machine machine = machines.get(name);
            if (machine != null && mayRequest(machine)) {
                send(machine);
            }
        }
    }

    private boolean mayRequest(Machine machine) {
        return !machine.terminated()
                && !heldResponses.contains(machine.name())
                && election.hasValidLease()
                && !machine.address().isEmpty()
                && loop.now() - machine.earlyHeartbeatRequestedAt() > minIntervalMs;
    }

    private void send(Machine machine) {
        machine.recordEarlyHeartbeatRequest(loop.now());
        long token = election.workerFencingToken() + machine.earlyHeartbeatRequests();
        inFlight++;
        http.call(
                machine.address(),
                "POST",
                "/commands",
                HeartbeatResponseCodec.earlyHeartbeatRequest(token, machine.incarnation()),
                Constants.Heartbeat.EARLY_HEARTBEAT_TIMEOUT_MS,
                reply -> {
                    inFlight--;
                    sendPending();
                });
    }
}
