package org.spoolline.metrics;

import java.util.Locale;

/** The events that a controller counts: requests and launches, each by its outcome and cause. */
public enum Event {
    /** A heartbeat was answered, which renews the worker's lease. */
    HEARTBEAT_RENEWED,
    /** A request was rejected because it is no well-formed heartbeat. */
    HEARTBEAT_MALFORMED,
    /** A worker was redirected to the leader. */
    HEARTBEAT_REDIRECTED,
    /** A heartbeat was rejected because no leader is known. */
    HEARTBEAT_WITHOUT_LEADER,
    /** A heartbeat was rejected because its machine counts as terminated. */
    HEARTBEAT_OF_TERMINATED_MACHINE,
    /** A worker was made to try the other controllers while the key-value store is unreachable. */
    HEARTBEAT_LEADER_PROBE,
    /** A heartbeat was rejected because it is a late copy of an earlier one. */
    HEARTBEAT_STALE,
    /** A heartbeat was rejected because the leader's view of the jobs exceeds the staleness bound. */
    HEARTBEAT_STALE_VIEW,

    /** A launch was ordered. */
    LAUNCH_ORDERED,
    /** A launch was ordered for an attempt whose end this leader has decided but not stored: never to happen. */
    LAUNCH_OF_RELEASED_ATTEMPT,
    /** A response carried no launches because the leader's view of the jobs is too old. */
    LAUNCH_WITHHELD_STALE_VIEW,
    /** A gang's launch waits for members that still fetch their image. */
    LAUNCH_WITHHELD_GANG_FETCHING,
    /** A launch waits because the team's stored attempts exceed its limit. */
    LAUNCH_WITHHELD_TEAM_LIMIT,
    /** A heartbeat lists an attempt as not exited that the leader has decided to have ended; it is stopped. */
    HEARTBEAT_LISTED_RELEASED_ATTEMPT,
    /** A heartbeat lists the rejected launch of an attempt that is not stored; it is cleared. */
    REJECTED_LAUNCH_NOT_STORED,
    /** The stop of a task was ordered. */
    STOP_ORDERED,

    /** A scheduling cycle completed. */
    CYCLE_COMPLETED,
    /** A scheduling cycle was skipped because the live jobs were not read yet. */
    CYCLE_SKIPPED_JOBS_UNREAD,
    /** A scheduling cycle was skipped because the leadership lease had expired. */
    CYCLE_SKIPPED_LEASE_EXPIRED,
    /** A scheduling cycle failed. */
    CYCLE_FAILED,
    /** Planning failed; the cycle still wrote which tasks had ended. */
    PLAN_FAILED,
    /** A task was placed; its launch follows once that is stored. */
    TASK_PLACED,
    /** The end of an attempt was decided; its capacity counts as free. */
    ATTEMPT_RELEASED,
    /** The heartbeats of the leader's machines show a team over its limit: never to happen. */
    TEAM_EXCEEDS_QUOTA,
    /** A cycle left a write for a later one, since the write budget or the transactions in flight were used up. */
    WRITE_DEFERRED,
    /** A write was not stored, by a refusal or a conflict; it is decided anew. */
    WRITE_ABANDONED,

    /** The live jobs were read in full. */
    JOBS_LISTED,
    /** The live jobs could not be read. */
    JOBS_LISTING_FAILED,
    /** A watch of the live jobs got no answer. */
    JOBS_WATCH_FAILED,
    /** A watch asked for history that the key-value store had compacted. */
    JOBS_WATCH_COMPACTED,

    /** An election was won. */
    ELECTION_WON,
    /** An election was lost to another node. */
    ELECTION_LOST,
    /** An election got no answer, or a refusal. */
    ELECTION_UNANSWERED,

    /** A user's request was served. */
    USER_SERVED,
    /** A user's request was rejected as malformed, impossible or about an unknown job. */
    USER_REFUSED,
    /** A user's request was rejected because the rate limit for users is reached. */
    USER_RATE_LIMITED,
    /** A user's request was rejected because the key-value store is unreachable or the machine types are unknown. */
    USER_UNAVAILABLE;

    /** The name in logs and counters. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
