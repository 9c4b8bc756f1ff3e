package org.spoolline.cluster;

/**
 * Early-heartbeat requests to one machine. Each request raises the token sent to the machine, within the range reserved
 * for the current term. A worker sends a heartbeat at once when it observes a raised token.
 */
final class EarlyHeartbeats {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long tokenIncrements;
    private long requestedAt = NEVER;

    /** Difference between the machine's token and the lowest worker token of the current term. */
    long tokenIncrements() {
        return tokenIncrements;
    }

    /** Time of the last request in ms of the event loop's clock; a time far in the past if there was none. */
    long requestedAt() {
        return requestedAt;
    }

    /** Records a request, which raises the token. */
    void recordRequest(long now) {
        tokenIncrements++;
        requestedAt = now;
    }

    /** Raises the token without a request, so that the next response carries a token that was never sent before. */
    void raiseToken() {
        tokenIncrements++;
    }
}
