package org.spoolline.cluster;

import org.spoolline.config.Constants;

/**
 * Detects whether the leader's responses reach a machine. A machine whose heartbeats arrive may still receive no
 * responses. Launches do not reach such a machine, and its lease expires although the leader answers each heartbeat.
 */
final class Downlink {
    private static final long NEVER = -1;

    /** What a heartbeat shows about the delivery of the responses to earlier heartbeats. */
    enum Observation {
        /**
         * Delivery can't be determined: no response or no new token was sent, or so few responses are unacknowledged
         * that the network may have lost them.
         */
        INCONCLUSIVE,
        /** The worker has observed a token that it had not observed before, so it received a response. */
        REACHABLE,
        /** Responses don't arrive. The caller must raise the token: only a new token can prove a later delivery. */
        UNREACHABLE
    }

    private long lastResponseAt = NEVER;
    private long lastSentToken;
    private int unacknowledgedResponses;
    private long unreachableSince = NEVER;

    /** Records that the last heartbeat was answered with a renewed lease, and the token in that response. */
    void recordResponse(long token, long now) {
        lastResponseAt = now;
        lastSentToken = token;
    }

    /** Time of the last response that renewed the lease, in ms of the event loop's clock; -1 before the first one. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    /**
     * Time at which responses were found not to arrive, in ms of the event loop's clock; -1 while none are known to
     * fail.
     */
    long unreachableSince() {
        return unreachableSince;
    }

    /** Updates the state with a newer heartbeat; to be called before {@code previous} is replaced by it. */
    Observation observe(Heartbeat heartbeat, LastHeartbeat previous, long leaseMs, long now) {
        Observation observation = assess(heartbeat, previous, leaseMs, now);
        if (observation == Observation.REACHABLE) {
            unacknowledgedResponses = 0;
            unreachableSince = NEVER;
        } else if (observation == Observation.UNREACHABLE) {
            unacknowledgedResponses = 0;
            unreachableSince = unreachableSince < 0 ? now : unreachableSince;
        }
        return observation;
    }

    /**
     * A worker has only one heartbeat in flight. A heartbeat with a lower token than the last response therefore means
     * that the worker did not receive that response. A new incarnation within the lease duration after a response means
     * the same: the worker's lease expired although the response renewed it in time.
     */
    private Observation assess(Heartbeat heartbeat, LastHeartbeat previous, long leaseMs, long now) {
        if (lastResponseAt < 0) {
            return Observation.INCONCLUSIVE;
        }
        if (heartbeat.incarnation() > previous.incarnation()) {
            return now - lastResponseAt < leaseMs ? Observation.UNREACHABLE : Observation.INCONCLUSIVE;
        }
        if (heartbeat.token() < lastSentToken) {
            unacknowledgedResponses++;
            return unacknowledgedResponses >= Constants.Heartbeat.UNACKNOWLEDGED_RESPONSES_MAX
                    ? Observation.UNREACHABLE
                    : Observation.INCONCLUSIVE;
        }
        return lastSentToken > previous.token() ? Observation.REACHABLE : Observation.INCONCLUSIVE;
    }
}
