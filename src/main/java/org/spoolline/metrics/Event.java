package org.spoolline.metrics;

import java.util.Locale;

/** What a controller counts: answers and starts, given or withheld, each by its cause. */
public enum Event {
    /** A heartbeat was answered so that the worker's lease goes on. */
    HEARTBEAT_RENEWED,
    /** Not a heartbeat. */
    HEARTBEAT_MALFORMED,
    /** The worker was sent to the leader. */
    HEARTBEAT_REDIRECTED,
    /** No leader is known to send the worker to. */
    HEARTBEAT_WITHOUT_LEADER,
    /** The machine counts as gone. */
    HEARTBEAT_OF_TERMINATED_MACHINE,
    /** The worker was asked to try the other controllers while the state service is out of reach. */
    HEARTBEAT_LEADER_PROBE,
    /** A late copy of an earlier heartbeat. */
    HEARTBEAT_STALE,
    /** The leader's view of the jobs is too old to renew a lease. */
    HEARTBEAT_STALE_VIEW,

    /** A launch was ordered. */
    LAUNCH_ORDERED,
    /** A heartbeat that might have carried launches was answered without: the view of the jobs is too old. */
    LAUNCH_WITHHELD_STALE_VIEW,
    /** A gang's launch waits for members that still fetch their image. */
    LAUNCH_WITHHELD_GANG_FETCHING,
    /** The end of a task was ordered. */
    STOP_ORDERED,

    /** A scheduling cycle ran to its end. */
    CYCLE_COMPLETED,
    /** A scheduling cycle was requested before the live pipelines were read. */
    CYCLE_SKIPPED_JOBS_UNREAD,
    /** A scheduling cycle was requested while leadership had lapsed. */
    CYCLE_SKIPPED_LEASE_EXPIRED,
    /** A scheduling cycle failed. */
    CYCLE_FAILED,
    /** No plan could be made; ends of tasks were written all the same. */
    PLAN_FAILED,
    /** A task was placed; its launch follows once that is stored. */
    TASK_PLACED,

    /** The live pipelines were read in full. */
    JOBS_LISTED,
    /** The live pipelines could not be read. */
    JOBS_LISTING_FAILED,
    /** A watch of the live pipelines got no answer. */
    JOBS_WATCH_FAILED,
    /** A watch came too late for the state service's history. */
    JOBS_WATCH_COMPACTED,

    /** An election was won. */
    ELECTION_WON,
    /** Another node was faster. */
    ELECTION_LOST,
    /** An election got no answer, or a refusal. */
    ELECTION_UNANSWERED,

    /** A user's request was carried out. */
    USER_SERVED,
    /** A user's request was malformed, impossible or about an unknown job. */
    USER_REFUSED,
    /** A user was told to come back: the share of the state budget is spent. */
    USER_RATE_LIMITED,
    /** A user was told to come back: the state service is out of reach, or the machine types are unknown. */
    USER_UNAVAILABLE;

    /** The name in logs and counters. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
