package org.spoolline.election;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.LeaseRenewal;
import org.spoolline.net.EventLoop;

/**
 * Renews the lease of one term and computes until when the lease proves this node's leadership.
 *
 * <p>The store starts the lease's time when it processes a creation or a renewal, so after this node has sent it. This
 * node counts from the time at which it <em>sent</em> the last successful request, and
 * {@link Settings#leadershipEndsAt} subtracts clock drift and a margin. Until then the leader key exists in the store
 * and no other node can be elected. A late response or a delayed event loop can only shorten the time in which this
 * node acts as the leader, never extend it (docs/design.md, "Leadership").
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
     * Creates a keeper, which renews nothing before {@link #start}.
     *
     * @param sentAt when the request that created the lease was sent, in ms of the event loop's clock
     * @param onExpired runs when the store responds that the lease no longer exists
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

    /** The ID of the lease in the key-value store. */
    long leaseId() {
        return leaseId;
    }

    /** The event loop's time, in ms, until which the lease guarantees that no other node is elected. */
    long validUntil() {
        return validUntil;
    }

    /** Starts to renew the lease every {@link Settings#renewMs}. */
    void start() {
        renewAfter(settings.renewMs());
    }

    /** Stops the renewals. The lease itself remains until it expires or is explicitly ended. */
    void stop() {
        stopped = true;
    }

    /** Renews the lease if a renewal is due and none is in flight. */
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
                // The lease may still exist after an outage of the store, so this node does not step down.
            case NO_ANSWER -> renewAfter(Constants.Time.RETRY_MS);
        }
    }
}
