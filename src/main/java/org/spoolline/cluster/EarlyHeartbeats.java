package org.spoolline.cluster;

/**
 * The early-heartbeat requests to one machine. Each one raises the token that the machine is shown, within the range of
 * the present leadership, and a worker sends a heartbeat at once when it sees a raised token.
 */
final class EarlyHeartbeats {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long tokenIncrements;
    private long requestedAt = NEVER;

    /** How far the machine's token is above the lowest one of the present leadership. */
    long tokenIncrements() {
        return tokenIncrements;
    }

    /** When the last request was sent, in ms of the loop's clock; far in the past when there was none. */
    long requestedAt() {
        return requestedAt;
    }

    /** Notes that a request is sent. */
    void recordRequest(long now) {
        tokenIncrements++;
        requestedAt = now;
    }

    /** Raises the token without a request, so that the next response shows one that no earlier response did. */
    void raiseToken() {
        tokenIncrements++;
    }
}
