package org.spoolline.kvstore;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.RateLimiter;

/**
 * Tracks the limits of the key-value store and enforces this node's share of its rate limits.
 *
 * <p>There are two sets of limits. The enforced limits are those known to be in force. The store may switch to the
 * announced limits at any time and without notice. The switch is detected by the first transaction that the store
 * rejects for its size although the enforced limits allow it.
 */
final class StoreRateLimits {
    private static final Logger LOG = LoggerFactory.getLogger(StoreRateLimits.class);

    private final EventLoop loop;
    private final int controllers;
    private final Settings.StoreLimits announced;
    private final RateLimiter requests;
    private final RateLimiter writes;

    private Settings.StoreLimits enforced;
    private boolean leader;
    /**
     * Requests that a leader reserves for its scheduling cycles. Without them, users who poll for unfinished jobs could
     * use up all requests and so keep these jobs from finishing.
     */
    private double reservedRequests;

    StoreRateLimits(EventLoop loop, Settings settings) {
        this.loop = loop;
        this.controllers = Math.max(1, settings.controllers());
        this.enforced = settings.storeLimits();
        this.announced = settings.storeLimits().lowestOfCurrentAndAnnounced();
        this.requests = new RateLimiter(1, loop.now());
        this.writes = new RateLimiter(1, loop.now());
        setLeader(false);
    }

    /** Returns the limits known to be in force. */
    Settings.StoreLimits enforced() {
        return enforced;
    }

    /** Returns the lower of the configured and the announced value of each limit. */
    Settings.StoreLimits announced() {
        return announced;
    }

    /** Puts the announced limits in force, after the store rejected a size that the enforced limits allow. */
    void enforceAnnounced() {
        if (!enforced.equals(announced)) {
            LOG.info(
                    "Announced key-value store limits are in force: value_bytes={} txn_ops={}"
                            + " requests_per_s={} writes_per_s={}",
                    announced.valueBytes(),
                    announced.txnOps(),
                    announced.requestsPerS(),
                    announced.writesPerS());
            enforced = announced;
            setLeader(leader);
        }
    }

    /** Sets this node's share of the rate limits; the leader's is larger, since it writes far more than a follower. */
    void setLeader(boolean leading) {
        leader = leading;
        double share = rateShare();
        reservedRequests = leader ? enforced.requestsPerS() * Constants.Store.LEADER_REQUEST_RESERVE : 0;
        requests.setRate(enforced.requestsPerS() * share, loop.now());
        writes.setRate(enforced.writesPerS() * share, loop.now());
    }

    private double rateShare() {
        if (controllers == 1) {
            return 1;
        }
        return leader
                ? Constants.Store.LEADER_REQUEST_SHARE
                : Math.min(Constants.Store.FOLLOWER_REQUEST_SHARE, 1.0 / (controllers - 1));
    }

    /**
     * Acquires permits for one request with that many writes; returns false and acquires none if the limits do not
     * allow it.
     */
    boolean tryAcquire(int writeCount) {
        long now = loop.now();
        if (requests.available(now) < 1 + reservedRequests || writes.available(now) < writeCount) {
            return false;
        }
        requests.tryAcquire(1, now);
        writes.tryAcquire(writeCount, now);
        return true;
    }

    /** Acquires permits for one request with that many writes, going into debt if necessary. */
    void acquireWithDebt(int writeCount) {
        requests.acquireWithDebt(1, loop.now());
        writes.acquireWithDebt(writeCount, loop.now());
    }

    /**
     * Acquires a permit for one request without writes, going into debt if necessary. The limiter of writes does not
     * change.
     */
    void acquireReadWithDebt() {
        requests.acquireWithDebt(1, loop.now());
    }

    /** Returns true if fewer requests are available than this node may send in half a second. */
    boolean requestsLow() {
        return requests.available(loop.now()) < requests.ratePerS() / 2;
    }

    /** Returns the writes available now for deferrable work, excluding the reserve for users' requests. */
    int availableWrites() {
        double reservedWrites = enforced.writesPerS() * Constants.Store.USER_WRITE_RESERVE;
        double writeBudget = writes.available(loop.now()) - reservedWrites;
        double requestBudget = requests.available(loop.now()) * enforced.txnOps();
        return (int) Math.max(0, Math.min(writeBudget, requestBudget));
    }

    /** Returns true if fewer writes are available than a leader may issue in half a second. */
    boolean writesLow() {
        return availableWrites() < enforced.writesPerS() * Constants.Store.LEADER_REQUEST_SHARE / 2;
    }
}
