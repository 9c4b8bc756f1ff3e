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
 * Reads and watches the leader key while this node does not lead. It knows who leads, and says when this node may
 * campaign: when the key does not exist, or names this node although it does not lead.
 */
final class LeaderKeyObserver {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderKeyObserver.class);

    /** What the observer asks of the election, and reports to it. */
    interface Callbacks {
        /** True while this node leads: the key is then not observed. */
        boolean isLeader();

        /** Another node is named by the leader key. */
        void leaderObserved(String leader);

        /**
         * No other node is named by the leader key: this node may campaign.
         *
         * @param keyVersion the version of the leader key that the campaign replaces; 0 when the key does not exist
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

    /** The leader's node name as last seen, if one is known. */
    Optional<String> knownLeader() {
        return Optional.ofNullable(knownLeader);
    }

    /** The highest fencing token seen on the leader key, this node's own included; 0 when none was seen. */
    long highestKnownToken() {
        return highestKnownToken;
    }

    /** This node was elected. */
    void localNodeElected(long token) {
        knownLeader = settings.node();
        highestKnownToken = Math.max(highestKnownToken, token);
    }

    /** This node does not lead any more: nobody is known to lead until the key is observed again. */
    void clearKnownLeader() {
        knownLeader = null;
    }

    /** Leaves campaigns to other nodes for a while, so that one of them replaces this node. */
    void backOff() {
        backOffUntil = loop.now() + Constants.Election.STEP_DOWN_BACKOFF_MS;
    }

    /** Observes the key after a pause. */
    void readLeaderKeyAfter(long delayMs) {
        loop.after(delayMs, this::readLeaderKey);
    }

    /** Reads the leader key, then follows the leader that it names or lets this node campaign. */
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
     * True for a key that names this node, which does not lead: it was written by an earlier process, or by an election
     * that got no answer. Nobody leads with it, so its lease need not be waited for. That is safe since the campaign
     * replaces just the version seen: an earlier process that still lives loses its writes with that version and its
     * workers with the higher token, and what it may yet answer is covered by the same wait as the answers of any former
     * leader (docs/design.md, "Leadership").
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

    /** A random pause, so that not all nodes campaign at once. */
    private long jitterMs() {
        return random.nextLong(Constants.Election.CAMPAIGN_JITTER_MS);
    }

    private void followLeader(LeaderKeyCodec.LeaderRecord leader, long version) {
        if (!leader.node().equals(knownLeader)) {
            LOG.info("Observed leader: leader={} token={}", leader.node(), leader.token());
        }
        // This node's own key, left to the end of its lease after stepping down: nobody leads meanwhile.
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
