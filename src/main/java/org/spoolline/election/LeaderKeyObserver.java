package org.spoolline.election;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.VersionedValue;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.kvstore.WatchResult;
import org.spoolline.net.EventLoop;

/**
 * Reads and watches the leader key while this node is not the leader. It tracks which node is the leader and permits a
 * campaign of this node when the key does not exist, or when the key names this node although it is not the leader.
 */
final class LeaderKeyObserver {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderKeyObserver.class);

    /** What the observer queries from the election and reports to it. */
    interface Callbacks {
        /** True while this node is the leader; the observer then does not read the key. */
        boolean isLeader();

        /** The leader key names another node. */
        void leaderObserved(String leader);

        /**
         * This node may campaign, since the leader key does not name another node.
         *
         * @param keyVersion the version of the leader key that the campaign may overwrite; 0 if it does not exist
         */
        void campaignPermitted(long keyVersion);
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Callbacks callbacks;

    private String knownLeader;
    private long highestKnownToken;
    private long backOffUntil = Long.MIN_VALUE;

    LeaderKeyObserver(
            EventLoop loop, RandomGenerator random, KeyValueStoreClient store, Settings settings, Callbacks callbacks) {
        this.loop = loop;
        this.random = random;
        this.store = store;
        this.settings = settings;
        this.callbacks = callbacks;
    }

    /** The node name of the last observed leader; empty if no leader is known. */
    Optional<String> knownLeader() {
        return Optional.ofNullable(knownLeader);
    }

    /** The highest fencing token read from the leader key or obtained by this node; 0 if none. */
    long highestKnownToken() {
        return highestKnownToken;
    }

    /** Records that this node was elected leader with the given fencing token. */
    void localNodeElected(long token) {
        knownLeader = settings.node();
        highestKnownToken = Math.max(highestKnownToken, token);
    }

    /** Clears the known leader after this node steps down; the next read of the key determines the new one. */
    void clearKnownLeader() {
        knownLeader = null;
    }

    /** Prevents campaigns of this node for the back-off time, so that another node becomes the leader. */
    void backOff() {
        backOffUntil = loop.now() + Constants.Election.STEP_DOWN_BACKOFF_MS;
    }

    /** Reads the leader key after a delay. */
    void readLeaderKeyAfter(long delayMs) {
        loop.after(delayMs, this::readLeaderKey);
    }

    /** Reads the leader key, then either watches the leader that it names or permits a campaign of this node. */
    void readLeaderKey() {
        if (callbacks.isLeader()) {
            return;
        }
        store.acquireWithDebt(0);
        store.get(LeaderElection.LEADER_KEY, result -> {
            if (callbacks.isLeader()) {
                return;
            }
            if (!result.answered()) {
                readLeaderKeyAfter(Constants.Time.RETRY_MS + jitterMs());
                return;
            }
            VersionedValue key = result.value();
            if (key.exists()) {
                handleLeaderKey(LeaderKeyCodec.decode(key.value()), key.version());
            } else {
                campaignUnlessBackingOff(0);
            }
        });
    }

    private void handleLeaderKey(LeaderKeyCodec.LeaderRecord leader, long version) {
        if (mayReplace(leader)) {
            campaignUnlessBackingOff(version);
        } else {
            followLeader(leader, version);
        }
    }

    /**
     * True for a leader key that names this node although it is not the leader, unless this node is backing off. Such
     * a key was written by an earlier process of this node, or by an election transaction that was applied but not
     * answered. Normally no node leads with it, so this node overwrites the key without waiting for its lease to end.
     *
     * <p>This is safe even if the earlier process is still running. The campaign overwrites only the version that was
     * read. After that the store rejects the earlier process's writes because of the new version, and workers reject
     * its orders because of the higher fencing token. Responses that it may still send are covered by the same wait as
     * those of any other former leader (docs/design.md, "Leadership").
     */
    private boolean mayReplace(LeaderKeyCodec.LeaderRecord leader) {
        return leader.node().equals(settings.node()) && !isBackingOff();
    }

    private boolean isBackingOff() {
        return loop.now() < backOffUntil;
    }

    private void campaignUnlessBackingOff(long keyVersion) {
        knownLeader = null;
        if (isBackingOff()) {
            readLeaderKeyAfter(Constants.Time.RETRY_MS);
        } else {
            loop.after(jitterMs(), () -> callbacks.campaignPermitted(keyVersion));
        }
    }

    /** A random delay, in ms, so that not all nodes campaign at the same time. */
    private long jitterMs() {
        return random.nextLong(Constants.Election.CAMPAIGN_JITTER_MS);
    }

    private void followLeader(LeaderKeyCodec.LeaderRecord leader, long version) {
        if (!leader.node().equals(knownLeader)) {
            LOG.info("Observed leader: leader={} token={}", leader.node(), leader.token());
        }
        // After this node has stepped down, its own key may exist until its lease ends. No node is the leader then.
        knownLeader = leader.node().equals(settings.node()) ? null : leader.node();
        highestKnownToken = Math.max(highestKnownToken, leader.token());
        if (knownLeader != null) {
            callbacks.leaderObserved(knownLeader);
        }
        store.watch(LeaderElection.LEADER_KEY, version, Constants.Election.LEADER_WATCH_MS, this::handleWatchResult);
    }

    private void handleWatchResult(WatchResult result) {
        if (!result.answered()) {
            readLeaderKeyAfter(Constants.Time.RETRY_MS);
            return;
        }
        List<WatchEvent> events = result.events();
        if (!events.isEmpty()) {
            WatchEvent last = events.get(events.size() - 1);
            if (!last.isDeletion()) {
                followLeader(LeaderKeyCodec.decode(last.value()), last.version());
                return;
            }
            knownLeader = null;
        }
        readLeaderKeyAfter(0);
    }
}
