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
 * Requests heartbeats from machines, so that they receive their orders before their next regular heartbeat. A request
 * is a command without orders that shows a raised fencing token; the worker responds to it by sending a heartbeat
 * immediately. The command itself starts and stops no task, so a late delivery does no harm. A worker reacts to a
 * raised token at most once per half of its lease.
 *
 * <p>Each request occupies a socket, and the number of sockets is limited. The number of requests in flight is
 * therefore bounded; further requests are queued.
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

    /**
     * Requests a heartbeat from each machine, immediately, or once earlier requests have been answered or timed out.
     */
    void request(Collection<String> machineNames) {
        pending.addAll(machineNames);
        sendPending();
    }

    /** Removes the queued request for a machine that has just sent a heartbeat. */
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
        long token = election.workerFencingToken() + machine.tokenIncrements();
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
