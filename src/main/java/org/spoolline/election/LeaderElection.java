package org.spoolline.election;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.LeaseRenewal;
import org.spoolline.kvstore.Transaction;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/**
 * Who leads. A node becomes leader by one transaction that raises the token and sets the leader key on its own
 * state lease; it counts as leader only until the last answered renewal was sent, plus the lease's time, less drift
 * and margin. Wanted state: a leader exists; the watch on the key and the renewals work out the difference.
 */
public final class LeaderElection {
    /** Where the leader's key and the token counter live. */
    public static final String LEADER_KEY = "leader";

    public static final String TOKEN_KEY = "token";
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    /** What the rest of the node does when leadership comes or goes. */
    public interface Listener {
        void elected(long token, long keyVersion);

        /** Another node is seen to lead. */
        void leaderObserved(String leader);

        void steppedDown(String why);
    }

    private final EventLoop loop;
    private final RandomGenerator random;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Listener listener;
    private final Counters counters;

    private String knownLeader;
    private long highestKnownToken;
    private boolean leading;
    private long fencingToken;
    private long leaderKeyVersion;
    private long lease;
    private long validUntil;
    private long renewDueAt;
    private boolean renewing;
    private boolean campaigning;
    private long mayCampaignAt = Long.MIN_VALUE;

    public LeaderElection(
            EventLoop loop,
            RandomGenerator random,
            KeyValueStoreClient store,
            Settings settings,
            Listener listener,
            Counters counters) {
        this.loop = loop;
        this.random = random;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.counters = counters;
    }

    public void start() {
        readLeaderKey();
    }

    /** True from an election until the node gives way, be its time over or not. */
    public boolean isLeader() {
        return leading;
    }

    /** True while this node may decide and commit: checked at the moment of each answer. */
    public boolean hasValidLease() {
        return leading && loop.now() < validUntil;
    }

    /**
     * True while this node may keep workers' leases alive without deciding anything, if its view of the jobs allows it
     * ({@link StalenessBound}). It outlasts {@link #hasValidLease} by the keep-alive time, which a new leader counts before it takes
     * silence for an end.
     */
    public boolean mayKeepAlive() {
        return leading && loop.now() < validUntil + settings.keepAliveMs();
    }

    public long fencingToken() {
        return fencingToken;
    }

    /**
     * The lowest token that workers are shown under this leadership. Above it is room for nudges: tokens raised to
     * make a single worker report at once, all of them below any later leader's.
     */
    public long workerFencingToken() {
        return fencingToken << Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS;
    }

    public long leaderKeyVersion() {
        return leaderKeyVersion;
    }

    /** The leader's node name as last seen, or null. */
    public String knownLeader() {
        return knownLeader;
    }

    /** The highest token this node has seen on the leader key. */
    public long highestKnownToken() {
        return Math.max(highestKnownToken, fencingToken);
    }

    /** A worker has seen this token. */
    public void observeWorkerToken(long seen) {
        observeToken(seen >> Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS);
    }

    /** A peer or a worker has seen a token over ours: another leader was elected since. */
    public void observeToken(long seen) {
        if (leading && seen > fencingToken) {
            stepDown("token " + seen + " is over ours, " + fencingToken);
        }
    }

    /** Gives way at once to a node that serves better, and leaves the next elections to others for a while. */
    public void stepDownAndBackOff(String why) {
        long ended = lease;
        mayCampaignAt = loop.now() + Constants.Election.STEP_DOWN_BACKOFF_MS;
        stepDown(why);
        store.endLease(ended);
    }

    /** Gives way; the key goes with its lease. */
    public void stepDown(String why) {
        if (!leading) {
            return;
        }
        LOG.info("leadership with token {} ends: {}", fencingToken, why);
        leading = false;
        knownLeader = null;
        store.setLeader(false);
        listener.steppedDown(why);
        loop.after(Constants.Time.RETRY_MS, this::readLeaderKey);
    }

    /** Reads the leader key, then stands or waits for its change. */
    private void readLeaderKey() {
        if (leading) {
            return;
        }
        store.acquireWithDebt(0);
        store.get(LEADER_KEY, read -> {
            if (leading) {
                return;
            }
            if (!read.answered()) {
                loop.after(
                        Constants.Time.RETRY_MS + random.nextLong(Constants.Election.CAMPAIGN_JITTER_MS),
                        this::readLeaderKey);
            } else if (read.value().exists() && !mayReplaceOwnKey(read.value().value())) {
                followLeader(read.value().value(), read.value().version());
            } else {
                knownLeader = null;
                long held = read.value().version();
                if (loop.now() < mayCampaignAt) {
                    loop.after(Constants.Time.RETRY_MS, this::readLeaderKey);
                } else {
                    loop.after(random.nextLong(Constants.Election.CAMPAIGN_JITTER_MS), () -> campaign(held));
                }
            }
        });
    }

    /**
     * The key of this node's own earlier life, or of an election of its own that got no answer: nobody leads with it, so
     * its lease need not be waited for. The election replaces just that version, and the new token and the wait for
     * former leaders' answers hold as after any other leader.
     */
    private boolean mayReplaceOwnKey(JsonNode leader) {
        return leader.path("node").asText().equals(settings.node()) && loop.now() >= mayCampaignAt;
    }

    private void followLeader(JsonNode value, long version) {
        String node = value.path("node").asText();
        if (!node.equals(knownLeader)) {
            LOG.info("leader is {} with token {}", node, value.path("token").asLong());
        }
        // Our own key, left to its end after giving way: nobody leads meanwhile.
        knownLeader = node.equals(settings.node()) ? null : node;
        highestKnownToken = Math.max(highestKnownToken, value.path("token").asLong());
        if (knownLeader != null) {
            listener.leaderObserved(knownLeader);
        }
        store.watch(LEADER_KEY, version, Constants.Election.LEADER_WATCH_MS, watched -> {
            if (watched.answered() && !watched.events().isEmpty()) {
                WatchEvent last = watched.events().get(watched.events().size() - 1);
                if (!last.isDeletion()) {
                    followLeader(last.value(), last.version());
                    return;
                }
                knownLeader = null;
            }
            loop.after(watched.answered() ? 0 : Constants.Time.RETRY_MS, this::readLeaderKey);
        });
    }

    /** {@code held} is the version of our own earlier key that the election replaces, or 0. */
    private void campaign(long held) {
        if (leading || campaigning) {
            return;
        }
        campaigning = true;
        long sent = loop.now();
        store.createLease(settings.leadershipMs(), fresh -> {
            if (fresh.isEmpty()) {
                campaigning = false;
                loop.after(Constants.Time.RETRY_MS, this::readLeaderKey);
                return;
            }
            store.acquireWithDebt(0);
            store.get(TOKEN_KEY, read -> {
                if (!read.answered()) {
                    campaigning = false;
                    loop.after(Constants.Time.RETRY_MS, this::readLeaderKey);
                    return;
                }
                long next =
                        read.value().exists() ? read.value().value().path("n").asLong() + 1 : 1;
                elect(fresh.getAsLong(), sent, next, read.value().version(), held);
            });
        });
    }

    private void elect(long fresh, long leaseSent, long next, long tokenVersion, long held) {
        ObjectNode leader = Json.object()
                .put("node", settings.node())
                .put("addr", settings.internalAddress())
                .put("token", next);
        Transaction transaction = new Transaction()
                .requireVersion(LEADER_KEY, held)
                .requireVersion(TOKEN_KEY, tokenVersion)
                .put(TOKEN_KEY, Json.object().put("n", next))
                .putWithLease(LEADER_KEY, leader, fresh);
        store.acquireWithDebt(2);
        store.commit(transaction, result -> {
            campaigning = false;
            if (result.outcome() != CommitOutcome.APPLIED) {
                boolean lost = result.outcome() == CommitOutcome.CONFLICT;
                counters.count(lost ? Event.ELECTION_LOST : Event.ELECTION_UNANSWERED);
                // An election without an answer may have been applied: the key then names us, with nobody leading.
                loop.after(lost ? 0 : Constants.Time.RETRY_MS, this::readLeaderKey);
                return;
            }
            leading = true;
            fencingToken = next;
            leaderKeyVersion = result.revision();
            lease = fresh;
            validUntil = settings.leadershipEndsAt(leaseSent);
            knownLeader = settings.node();
            highestKnownToken = Math.max(highestKnownToken, next);
            store.setLeader(true);
            counters.count(Event.ELECTION_WON);
            LOG.info(
                    "elected with token {} at revision {}, {} ms after standing",
                    fencingToken,
                    leaderKeyVersion,
                    loop.now() - leaseSent);
            listener.elected(fencingToken, leaderKeyVersion);
            renewing = false;
            renewAfter(settings.renewMs());
        });
    }

    private void renewAfter(long delayMs) {
        long mine = fencingToken;
        renewDueAt = loop.now() + delayMs;
        loop.after(delayMs, () -> {
            if (fencingToken == mine) {
                renewIfDue();
            }
        });
    }

    /**
     * Renews if it is time. Called before each request too: a cold process whose loop is busy with hundreds of workers
     * comes to its timers so late that its leadership ended unrenewed, and another cold process took it over, by turns.
     */
    public void renewIfDue() {
        if (leading && !renewing && loop.now() >= renewDueAt) {
            renew(fencingToken);
        }
    }

    private void renew(long mine) {
        renewing = true;
        long sent = loop.now();
        store.renewLease(lease, renewal -> {
            if (!leading || fencingToken != mine) {
                return;
            }
            renewing = false;
            if (renewal == LeaseRenewal.RENEWED) {
                validUntil = Math.max(validUntil, settings.leadershipEndsAt(sent));
            } else if (renewal == LeaseRenewal.EXPIRED) {
                stepDown("its lease has ended");
                return;
            }
            // Any other answer proves nothing: the lease may outlive an outage, and then we still lead.
            renewAfter(renewal == LeaseRenewal.RENEWED ? settings.renewMs() : Constants.Time.RETRY_MS);
        });
    }
}
