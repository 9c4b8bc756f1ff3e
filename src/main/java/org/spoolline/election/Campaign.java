package org.spoolline.election;

import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.net.EventLoop;

/**
 * Campaigns of this node, one at a time: create a lease, read the token counter, then raise the counter and set the
 * leader key in one transaction.
 *
 * <p>At most one of several candidates wins, since the transaction requires both the version of the leader key that the
 * candidate saw and that of the counter; each term's fencing token is therefore higher than all before. The leader key
 * lives on the lease, so it goes by itself when its leader does not renew.
 */
final class Campaign {
    /** What became of a campaign. Exactly one method is called for each campaign that was started. */
    interface Listener {
        /** This node leads. */
        void won(Term term);

        /** Another node changed the leader key or the counter first. */
        void lost();

        /**
         * The election got no answer, or the store rejected it. It may have been applied: the leader key then names this
         * node although nobody leads.
         */
        void outcomeUnknown();

        /** The store did not answer what precedes the election. */
        void storeUnavailable();
    }

    /**
     * A won term.
     *
     * @param token the fencing token
     * @param leaderKeyVersion the version of the leader key, which every write of this leader requires
     * @param leaseId the lease that the leader key lives on
     * @param leaseRequestSentAt when the request that created the lease was sent, in ms of the event loop's time
     */
    record Term(long token, long leaderKeyVersion, long leaseId, long leaseRequestSentAt) {}

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Listener listener;
    private boolean inProgress;

    Campaign(EventLoop loop, KeyValueStoreClient store, Settings settings, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
    }

    /**
     * Starts a campaign unless one is running.
     *
     * @param leaderKeyVersion the version of the leader key that the election replaces; 0 when the key must not exist
     */
    void start(long leaderKeyVersion) {
        if (inProgress) {
            return;
        }
        inProgress = true;
        long sentAt = loop.now();
        store.createLease(settings.leadershipMs(), lease -> {
            if (lease.isPresent()) {
                readTokenCounter(leaderKeyVersion, lease.getAsLong(), sentAt);
            } else {
                inProgress = false;
                listener.storeUnavailable();
            }
        });
    }

    private void readTokenCounter(long leaderKeyVersion, long leaseId, long leaseRequestSentAt) {
        store.acquireWithDebt(0);
        store.get(LeaderElection.TOKEN_KEY, read -> {
            if (read.answered()) {
                commitElection(leaderKeyVersion, leaseId, leaseRequestSentAt, read.value());
            } else {
                inProgress = false;
                listener.storeUnavailable();
            }
        });
    }

    private void commitElection(
            long leaderKeyVersion, long leaseId, long leaseRequestSentAt, VersionedValue tokenCounter) {
        long token = LeaderKeyCodec.decodeLastToken(tokenCounter) + 1;
        LeaderKeyCodec.LeaderRecord leader =
                new LeaderKeyCodec.LeaderRecord(settings.node(), settings.internalAddress(), token);
        Transaction transaction = new Transaction()
                .requireVersion(LeaderElection.LEADER_KEY, leaderKeyVersion)
                .requireVersion(LeaderElection.TOKEN_KEY, tokenCounter.version())
                .put(LeaderElection.TOKEN_KEY, LeaderKeyCodec.encodeLastToken(token))
                .putWithLease(LeaderElection.LEADER_KEY, LeaderKeyCodec.encode(leader), leaseId);
        store.acquireWithDebt(transaction.writeCount());
        store.commit(transaction, result -> {
            inProgress = false;
            switch (result.outcome()) {
                case APPLIED -> listener.won(new Term(token, result.revision(), leaseId, leaseRequestSentAt));
                case CONFLICT -> listener.lost();
                default -> listener.outcomeUnknown();
            }
        });
    }
}
