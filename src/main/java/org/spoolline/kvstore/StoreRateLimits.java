package org.spoolline.kvstore;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.RateLimiter;

/**
 * The limits of the key-value store and this node's share of its rate limits.
 *
 * <p>Two sets of limits matter. The enforced ones are those that the store has now, as far as is known. The announced
 * ones it may have from some moment on, without notice; the first transaction that is rejected for its size although the
 * enforced limits allow it shows that they have come into force.
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
    /** Requests that a leader keeps from users, so that polls of jobs that don't end can't keep them from ending. */
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

    /** The limits known to be in force. */
    Settings.StoreLimits enforced() {
        return enforced;
    }

    /** The least of the limits in force and those announced. */
    Settings.StoreLimits announced() {
        return announced;
    }

    /** The store has rejected a size that the enforced limits allow: the announced limits are in force. */
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

    /** Sets this node's share of the rate limits: the leader writes far more than the others. */
    void setLeader(boolean leading) {
        leader = leading;
        double share = share();
        reservedRequests = leader ? enforced.requestsPerS() * Constants.Store.LEADER_REQUEST_RESERVE : 0;
        requests.setRate(enforced.requestsPerS() * share, loop.now());
        writes.setRate(enforced.writesPerS() * share, loop.now());
    }

    private double share() {
        if (controllers == 1) {
            return 1;
        }
        return leader
                ? Constants.Store.LEADER_REQUEST_SHARE
                : Math.min(Constants.Store.FOLLOWER_REQUEST_SHARE, 1.0 / (controllers - 1));
    }

    /** Takes one request with so many writes from the rate limits; false, and nothing taken, when they are exhausted. */
    boolean tryAcquire(int writeCount) {
        long now = loop.now();
        if (requests.available(now) < 1 + reservedRequests || writes.available(now) < writeCount) {
            return false;
        }
        requests.tryAcquire(1, now);
        writes.tryAcquire(writeCount, now);
        return true;
    }

    /** Takes one request with so many writes, into debt if need be. */
    void acquireWithDebt(int writeCount) {
        requests.acquireWithDebt(1, loop.now());
        writes.acquireWithDebt(writeCount, loop.now());
    }

    /** Takes one request without writes, into debt if need be. The writes' limiter is left alone. */
    void acquireReadWithDebt() {
        requests.acquireWithDebt(1, loop.now());
    }

    /** True when less than half of a second's requests is available. */
    boolean requestsLow() {
        return requests.available(loop.now()) < requests.ratePerS() / 2;
    }

    /** Writes available now for work that can wait; a part of them is kept for users' requests. */
    int availableWrites() {
        double forUsers = enforced.writesPerS() * Constants.Store.USER_WRITE_RESERVE;
        double byWrites = writes.available(loop.now()) - forUsers;
        double byRequests = requests.available(loop.now()) * enforced.txnOps();
        return (int) Math.max(0, Math.min(byWrites, byRequests));
    }

    /** True when less than half of a leader's writes of one second is available. */
    boolean writesLow() {
        return availableWrites() < enforced.writesPerS() * Constants.Store.LEADER_REQUEST_SHARE / 2;
    }
}
