package org.spoolline.worker;

import org.spoolline.metrics.Event;

/** Why the response to a heartbeat does not renew the worker's lease. */
enum HeartbeatRejection {
    /** The body can't be decoded as a heartbeat. */
    MALFORMED(Event.HEARTBEAT_MALFORMED),
    /** This node is not the leader and knows no leader to which it could redirect the worker. */
    NO_KNOWN_LEADER(Event.HEARTBEAT_WITHOUT_LEADER),
    /**
     * The machine is terminated. Its tasks may already run on other machines, so a renewed lease could make a task
     * run twice.
     */
    MACHINE_TERMINATED(Event.HEARTBEAT_OF_TERMINATED_MACHINE),
    /**
     * The leader can't reach the key-value store. The rejection makes the worker ask the other controllers for a
     * newer leader.
     */
    LEADER_PROBE(Event.HEARTBEAT_LEADER_PROBE),
    /**
     * The heartbeat is not newer than the last accepted one, for example a delayed copy. The worker no longer waits
     * for this response.
     */
    STALE_HEARTBEAT(Event.HEARTBEAT_STALE),
    /** The leader's view of the jobs is older than the staleness bound for lease renewals. */
    STALE_VIEW(Event.HEARTBEAT_STALE_VIEW),
    /**
     * The machine was terminated while the response was held. Has the same wire form as {@link #STALE_VIEW}.
     */
    TERMINATED_WHILE_HELD(Event.HEARTBEAT_OF_TERMINATED_MACHINE);

    private final Event event;

    HeartbeatRejection(Event event) {
        this.event = event;
    }

    /** The metrics event that counts this rejection. */
    Event event() {
        return event;
    }
}
