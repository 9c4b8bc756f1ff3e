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
 * Answers accepted heartbeats: renews the worker's lease if the staleness bound still allows it at the moment of the
 * answer, and sends the orders that the leader may give at that moment. Used on the event loop only.
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

    /** Sends orders from now on: the live jobs have been read under the present fencing token. */
    void enableOrders() {
        ordersEnabled = true;
    }

    /** Renews leases without orders from now on. */
    void disableOrders() {
        ordersEnabled = false;
    }

    /** Answers with the orders that the machine needs now. */
    void respondWithOrders(PendingResponse pending) {
        if (mayRenewOrReject(pending)) {
            renew(pending, ordersFor(pending));
        }
    }

    /** Answers a heartbeat that a later one has replaced: its orders travel in the later one's response. */
    void respondWithoutOrders(PendingResponse pending) {
        if (mayRenewOrReject(pending)) {
            renew(pending, List.of());
        }
    }

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
        long token = election.workerFencingToken() + machine.earlyHeartbeatRequests();
        for (int i = 0; i < orders.size(); i++) {
            recordOrder(machine, orders.get(i));
        }
        machine.recordResponse(token, loop.now());
        counters.count(Event.HEARTBEAT_RENEWED);
        pending.send(HeartbeatResponseCodec.renewal(token, orders));
    }

    private List<Order> ordersFor(PendingResponse pending) {
        if (!ordersEnabled || !pending.answersLastHeartbeat()) {
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
            launchLog.recordLaunch(attemptId, machine.name());
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
