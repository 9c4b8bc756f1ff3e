package org.spoolline.election;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.LeaseRenewal;
import org.spoolline.net.EventLoop;

/**
 * Keeps the lease of one term alive, and knows until when it proves the leadership.
 *
 * <p>The store counts a lease's time from when it carries out a creation or renewal, which is after that was sent. So
 * until {@link Settings#leadershipEndsAt} of the time at which the last answered request was <em>sent</em>, with drift of
 * the clocks and a margin taken off, the store has the leader key and elects nobody else. A late answer or a late loop
 * shortens the time in which this node acts as leader and never lengthens it (docs/design.md, "Leadership").
 */
final class LeaseKeeper {
    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long leaseId;
    private final Runnable onExpired;

    private long validUntil;
    private long nextRenewalAt = Long.MAX_VALUE;
    private boolean renewalInFlight;
    private boolean stopped;

    /**
     * A keeper that does not renew yet.
     *
     * @param sentAt when the request that created the lease was sent, in ms of the event loop's time
     * @param onExpired runs when the store answers that the lease does not exist any more
     */
    LeaseKeeper(
            EventLoop loop,
            KeyValueStoreClient store,
            Settings settings,
            long leaseId,
            long sentAt,
            Runnable onExpired) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
        this.leaseId = leaseId;
        this.onExpired = onExpired;
        this.validUntil = settings.leadershipEndsAt(sentAt);
    }

    /** The lease that is kept. */
    long leaseId() {
        return leaseId;
    }

    /** The event loop's time, in ms, until which the lease proves that no other node was elected. */
    long validUntil() {
        return validUntil;
    }

    /** Begins to renew at the usual interval. */
    void start() {
        renewAfter(settings.renewMs());
    }

    /** Ends the renewals; the lease itself lives on until its time is over or it is ended. */
    void stop() {
        stopped = true;
    }

    /** Renews the lease if that is due and no renewal is under way. */
    void renewIfDue() {
        if (!stopped && !renewalInFlight && loop.now() >= nextRenewalAt) {
            renew();
        }
    }

    private void renewAfter(long delayMs) {
        nextRenewalAt = loop.now() + delayMs;
        loop.after(delayMs, this::renewIfDue);
    }

    private void renew() {
        renewalInFlight = true;
        long sentAt = loop.now();
        store.renewLease(leaseId, renewal -> {
            if (!stopped) {
                renewalInFlight = false;
                handleRenewal(renewal, sentAt);
            }
        });
    }

    private void handleRenewal(LeaseRenewal renewal, long sentAt) {
        switch (renewal) {
            case RENEWED -> {
                validUntil = Math.max(validUntil, settings.leadershipEndsAt(sentAt));
                renewAfter(settings.renewMs());
            }
            case EXPIRED -> onExpired.run();
                // Proves nothing: the lease may outlive an outage, and this node then still leads.
            case NO_ANSWER -> renewAfter(Constants.Time.RETRY_MS);
        }
    }
}
