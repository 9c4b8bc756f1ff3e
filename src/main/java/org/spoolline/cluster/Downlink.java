package org.spoolline.cluster;

import org.spoolline.config.Constants;

/**
 * Whether the leader's responses arrive at a machine. Heartbeats may come from a machine that receives no response; no
 * launch would reach it, and its lease ends although it is answered.
 */
final class Downlink {
    private static final long NEVER = -1;

    /** What a heartbeat shows about the responses before it. */
    enum Observation {
        /** Nothing that counts: no response was due, or fewer are missing than a network may lose. */
        INCONCLUSIVE,
        /** The worker has seen a token that it had not seen before. */
        REACHABLE,
        /** Responses don't arrive. The token is to be raised: only a new one can show that a later response arrives. */
        UNREACHABLE
    }

    private long lastResponseAt = NEVER;
    private long lastSentToken;
    private int unacknowledgedResponses;
    private long unreachableSince = NEVER;

    /** Notes that the last heartbeat was answered, and which token the response showed. */
    void recordResponse(long token, long now) {
        lastResponseAt = now;
        lastSentToken = token;
    }

    /** When a heartbeat was last answered with a renewed lease, in ms of the loop's clock, or -1. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    /** Since when responses are known not to arrive, or -1. */
    long unreachableSince() {
        return unreachableSince;
    }

    /** Takes in a heartbeat that follows {@code previous}, before that one is replaced. */
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
     * Only one heartbeat is in flight, so one that doesn't show the token of the response before has not received it;
     * a lease that expired although it was renewed in time shows the same.
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
