package org.spoolline.worker;

import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.AttemptId;

/**
 * Responds to accepted heartbeats. At the time of the response, it renews the worker's lease if the staleness bound
 * allows it, and adds the orders that the leader may give. Used on the event loop only.
 */
final class HeartbeatResponder {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatResponder.class);

    private final EventLoop loop;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final OrderPlanner planner;
    private final LaunchLog launchLog;
    private final Counters counters;
    private boolean ordersEnabled;

    HeartbeatResponder(
            EventLoop loop,
            LeaderElection election,
            StalenessBound staleness,
            OrderPlanner planner,
            LaunchLog launchLog,
            Counters counters) {
        this.loop = loop;
        this.election = election;
        this.staleness = staleness;
        this.planner = planner;
        this.launchLog = launchLog;
        this.counters = counters;
    }

    /** Includes orders in later responses; called once the live jobs have been read under the current fencing token. */
    void enableOrders() {
        ordersEnabled = true;
    }

    /** Excludes orders from later responses; leases are still renewed. */
    void disableOrders() {
        ordersEnabled = false;
    }

    /** Sends the response with the orders that the machine currently needs, or rejects the heartbeat. */
    void respondWithOrders(PendingResponse pending) {
        if (mayRenewOrReject(pending)) {
            renew(pending, ordersFor(pending));
        }
    }

    /**
     * Sends the response to a heartbeat that a later heartbeat of the machine has superseded, or rejects it. The
     * orders are sent in the response to the later heartbeat.
     */
    void respondWithoutOrders(PendingResponse pending) {
        if (mayRenewOrReject(pending)) {
            renew(pending, List.of());
        }
    }

    /** True when the response may renew the lease; otherwise this method rejects the heartbeat. */
    private boolean mayRenewOrReject(PendingResponse pending) {
        boolean terminated = pending.machine().terminated();
        if (staleness.mayRenewLeases() && !terminated) {
            return true;
        }
        HeartbeatRejection rejection =
                terminated ? HeartbeatRejection.TERMINATED_WHILE_HELD : HeartbeatRejection.STALE_VIEW;
        counters.count(rejection.event());
        pending.send(HeartbeatResponseCodec.rejection(rejection));
        return false;
    }

    private void renew(PendingResponse pending, List<Order> orders) {
        Machine machine = pending.machine();
        long token = election.workerFencingToken() + machine.tokenIncrements();
        for (int i = 0; i < orders.size(); i++) {
            recordOrder(machine, orders.get(i));
        }
        machine.recordResponse(token, loop.now());
        counters.count(Event.HEARTBEAT_RENEWED);
        pending.send(HeartbeatResponseCodec.renewal(token, orders));
    }

    private List<Order> ordersFor(PendingResponse pending) {
        if (!ordersEnabled || !pending.isForLastHeartbeat()) {
            return List.of();
        }
        if (staleness.mayLaunch()) {
            return planner.ordersFor(pending.machine());
        }
        counters.count(Event.LAUNCH_WITHHELD_STALE_VIEW);
        return staleness.mayStopCancelled() ? planner.stopsOfCancelledJobs(pending.machine()) : List.of();
    }

    private void recordOrder(Machine machine, Order order) {
        AttemptId attemptId = order.attemptId();
        if (order instanceof Order.Launch) {
            machine.recordLaunch(attemptId);
            launchLog.recordLaunch(attemptId, machine.name(), staleness.viewAgeMs());
        } else if (order instanceof Order.Stop stop) {
            counters.count(Event.STOP_ORDERED);
            LOG.debug(
                    "Ordered stop: job={} task={} attempt={} machine={} grace_s={}",
                    attemptId.jobId(),
                    attemptId.task(),
                    attemptId.attempt(),
                    machine.name(),
                    stop.graceS());
        }
    }
}
