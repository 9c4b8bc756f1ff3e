package org.spoolline.metrics;

import java.util.Locale;

/** Events that a controller counts, such as requests, launches, scheduling cycles and writes by their outcome. */
public enum Event {
    /** A heartbeat was answered with a renewed lease of the worker. */
    HEARTBEAT_RENEWED,
    /** A heartbeat was rejected because it is malformed. */
    HEARTBEAT_MALFORMED,
    /** A worker was redirected to the leader. */
    HEARTBEAT_REDIRECTED,
    /** A heartbeat was rejected because this controller knows no leader. */
    HEARTBEAT_WITHOUT_LEADER,
    /** A heartbeat was rejected because its machine is marked as terminated. */
    HEARTBEAT_OF_TERMINATED_MACHINE,
    /**
     * A worker was sent to the other controllers to look for a newer leader: this one can't reach the key-value store.
     */
    HEARTBEAT_LEADER_PROBE,
    /** A heartbeat was rejected because it is older than one already received. */
    HEARTBEAT_STALE,
    /** A heartbeat was rejected because the leader's view of the jobs exceeds the staleness bound. */
    HEARTBEAT_STALE_VIEW,

    /** A launch was ordered. */
    LAUNCH_ORDERED,
    /**
     * A launch was ordered for an attempt that this leader has released but whose end is not stored; must never occur.
     */
    LAUNCH_OF_RELEASED_ATTEMPT,
    /** A response carried no launches because the leader's view of the jobs exceeds the staleness bound. */
    LAUNCH_WITHHELD_STALE_VIEW,
    /** The launch of a gang was withheld because some of its members are still fetching their image. */
    LAUNCH_WITHHELD_GANG_FETCHING,
    /** A launch was withheld because the stored attempts of the team exceed its limit. */
    LAUNCH_WITHHELD_TEAM_LIMIT,
    /** A heartbeat listed an attempt as not exited that the leader has released; its stop is ordered. */
    HEARTBEAT_LISTED_RELEASED_ATTEMPT,
    /** A heartbeat listed the rejected launch of an attempt that is not stored; the worker is ordered to clear it. */
    REJECTED_LAUNCH_NOT_STORED,
    /** A stop of a task was ordered. */
    STOP_ORDERED,

    /** A scheduling cycle completed. */
    CYCLE_COMPLETED,
    /** A scheduling cycle was skipped because the leader has not yet read the live jobs. */
    CYCLE_SKIPPED_JOBS_UNREAD,
    /** A scheduling cycle was skipped because the leadership lease had expired. */
    CYCLE_SKIPPED_LEASE_EXPIRED,
    /** A scheduling cycle ended with an exception. */
    CYCLE_FAILED,
    /** The planning step of a cycle failed; the cycle still recorded the tasks that have ended. */
    PLAN_FAILED,
    /** A task was placed; its launch is ordered once the placement is stored. */
    TASK_PLACED,
    /** A planned placement was withdrawn because the stored value of its job has no space for the attempt. */
    PLACEMENT_WITHDRAWN_VALUE_FULL,
    /** A completion was forgotten to make space for an attempt in a value; the task is placed again. */
    COMPLETION_FORGOTTEN,
    /** All planned placements of a job without attempts were withdrawn: its value has no space for a single one. */
    JOB_WITHOUT_SPACE_FOR_ATTEMPTS,
    /** The leader released an attempt: it decided that the attempt has ended, and counts its capacity as free. */
    ATTEMPT_RELEASED,
    /** The attempts listed in heartbeats exceed the limit of a team; must never occur. */
    TEAM_EXCEEDS_QUOTA,
    /** A cycle deferred a write because the write budget or the limit of transactions in flight was exhausted. */
    WRITE_DEFERRED,
    /** A write was abandoned after a refusal or a conflict; a later cycle decides on the job again. */
    WRITE_ABANDONED,

    /** A full listing of the live jobs succeeded. */
    JOBS_LISTED,
    /** A full listing of the live jobs failed. */
    JOBS_LISTING_FAILED,
    /** A watch on the live jobs was refused or got no response. */
    JOBS_WATCH_FAILED,
    /** A watch on the live jobs failed because the key-value store has compacted the requested history. */
    JOBS_WATCH_COMPACTED,

    /** The leader acknowledged a cancellation to this node, which may be the leader itself. */
    CANCELLATION_ACKNOWLEDGED,
    /** The leader did not reply to the notification of a cancellation or did not acknowledge it, or none is known. */
    CANCELLATION_NOT_ACKNOWLEDGED,
    /** A user was asked to retry because a committed cancellation may not be confirmed yet. */
    CANCELLATION_UNCONFIRMED,

    /** This node won an election. */
    ELECTION_WON,
    /** This node lost an election to another node. */
    ELECTION_LOST,
    /** The key-value store refused an election request of this node or did not respond. */
    ELECTION_UNANSWERED,

    /** A request was rejected because its body is larger than the limit. */
    REQUEST_BODY_TOO_LARGE,
    /** A request was rejected because its body ended early or its chunks are malformed. */
    REQUEST_BODY_MALFORMED,
    /** A request was ended because its body was not complete in time. */
    REQUEST_BODY_TIMED_OUT,
    /** A request was ended because all unfinished bodies together took too much memory. */
    REQUEST_BODY_EVICTED,
    /** A connection was closed because too many were open. */
    CONNECTION_EVICTED,
    /** A submission was rejected because its body is not a JSON object. */
    SUBMISSION_NOT_JSON,
    /** A submission was rejected because a field is missing or invalid. */
    SUBMISSION_FIELD_INVALID,

    /** A user's request was processed. */
    USER_SERVED,
    /** A user's request was rejected because it is malformed, can't be satisfied or names an unknown job. */
    USER_REFUSED,
    /** A user's request was rejected because the rate limit for users is reached. */
    USER_RATE_LIMITED,
    /** A user's request was rejected because the key-value store is unreachable or the machine types are unknown. */
    USER_UNAVAILABLE;

    /** Returns the name of the event in logs and in the counters of the HTTP API. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
