package org.spoolline.election;

import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.net.EventLoop;

/**
 * Runs the election campaigns of this node, one at a time. A campaign creates a lease, reads the token counter, and
 * then commits one transaction that increments the counter and writes the leader key.
 *
 * <p>The transaction requires the versions of the leader key and of the counter that the candidate has read. Of several
 * concurrent candidates at most one wins, and each term has a higher fencing token than every earlier term. The leader
 * key is attached to the lease, so the store deletes the key when the leader stops renewing the lease.
 */
final class Campaign {
    /** Receives the outcome of each campaign. Exactly one method is called per campaign that was started. */
    interface Listener {
        /** The election transaction was applied: this node is the leader. */
        void won(Term term);

        /** The transaction conflicted: another node has changed the leader key or the token counter. */
        void lost();

        /**
         * The store rejected the election transaction or did not respond to it. It may still have been applied: the
         * leader key then names this node, but no node acts as the leader.
         */
        void outcomeUnknown();

        /** The lease could not be created or the token counter could not be read, so no transaction was sent. */
        void storeUnavailable();
    }

    /**
     * A term of leadership of this node.
     *
     * @param token the fencing token of the term
     * @param leaderKeyVersion the version of the leader key, which every write of this leader requires
     * @param leaseId the lease that the leader key is attached to
     * @param leaseRequestSentAt when the request that created the lease was sent, in ms of the event loop's clock
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
     * Starts a campaign unless one is in progress.
     *
     * @param leaderKeyVersion the version of the leader key that the campaign may overwrite; 0 if it must not exist
     */
    void start(long leaderKeyVersion) {
        if (inProgress) {
            return;
        }
        inProgress = true;
        long sentAt = loop.now();
        store.createLease(settings.leadershipMs(), leaseId -> {
            if (leaseId.isPresent()) {
                readTokenCounter(leaderKeyVersion, leaseId.getAsLong(), sentAt);
            } else {
                inProgress = false;
                listener.storeUnavailable();
            }
        });
    }

    private void readTokenCounter(long leaderKeyVersion, long leaseId, long leaseRequestSentAt) {
        store.acquireWithDebt(0);
        store.get(LeaderElection.TOKEN_KEY, result -> {
            if (result.answered()) {
                commitElection(leaderKeyVersion, leaseId, leaseRequestSentAt, result.value());
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
