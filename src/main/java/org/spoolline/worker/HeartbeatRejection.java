package org.spoolline.worker;

import org.spoolline.metrics.Event;

/** Why a heartbeat is answered without renewing the worker's lease. */
enum HeartbeatRejection {
    /** The body is no heartbeat. */
    MALFORMED(Event.HEARTBEAT_MALFORMED),
    /** This node does not lead and knows no leader to redirect to. */
    NO_KNOWN_LEADER(Event.HEARTBEAT_WITHOUT_LEADER),
    /** The machine is terminated: its attempts may run elsewhere, so a renewed lease could make a task run twice. */
    MACHINE_TERMINATED(Event.HEARTBEAT_OF_TERMINATED_MACHINE),
    /** The key-value store is out of reach, and the worker is to ask the other controllers for a newer leader. */
    LEADER_PROBE(Event.HEARTBEAT_LEADER_PROBE),
    /** A late copy of an earlier heartbeat: the worker no longer waits for this response. */
    STALE_HEARTBEAT(Event.HEARTBEAT_STALE),
    /** The leader's view of the jobs is beyond the staleness bound of lease renewals. */
    STALE_VIEW(Event.HEARTBEAT_STALE_VIEW),
    /** The machine was terminated while its response was held; on the wire this is the same as {@link #STALE_VIEW}. */
    TERMINATED_WHILE_HELD(Event.HEARTBEAT_OF_TERMINATED_MACHINE);

    private final Event event;

    HeartbeatRejection(Event event) {
        this.event = event;
    }

    /** The event under which the rejection is counted. */
    Event event() {
        return event;
    }
}
