package org.spoolline.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.diagnostics.Counters;
import org.spoolline.diagnostics.Event;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;

/**
 * Who leads. A node becomes leader by one transaction that raises the token and sets the leader key on its own
 * state lease; it counts as leader only until the last answered renewal was sent, plus the lease's time, less drift
 * and margin. Wanted state: a leader exists; the watch on the key and the renewals work out the difference.
 */
public final class Leadership {
    /** Where the leader's key and the token counter live. */
    public static final String LEADER_KEY = "leader";

    public static final String TOKEN_KEY = "token";
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** What the rest of the node does when leadership comes or goes. */
    public interface Listener {
        void elected(long token, long keyVersion);

        /** Another node is seen to lead. */
        void follows(String leader);

        void deposed(String why);
    }

    private final Loop loop;
    private final RandomGenerator random;
    private final StateClient state;
    private final Settings settings;
    private final Listener listener;
    private final Counters counters;

    private String knownLeader;
    private long knownToken;
    private boolean leading;
    private long token;
    private long keyVersion;
    private long lease;
    private long validUntil;
    private long renewDueAt;
    private boolean renewing;
    private boolean standing;
    private long mayStandAt = Long.MIN_VALUE;

    public Leadership(
            Loop loop,
            RandomGenerator random,
            StateClient state,
            Settings settings,
            Listener listener,
            Counters counters) {
        this.loop = loop;
        this.random = random;
        this.state = state;
        this.settings = settings;
        this.listener = listener;
        this.counters = counters;
    }

    public void start() {
        observe();
    }

    /** True from an election until the node gives way, be its time over or not. */
    public boolean leads() {
        return leading;
    }

    /** True while this node may decide and commit: checked at the moment of each answer. */
    public boolean valid() {
        return leading && loop.now() < validUntil;
    }

    /**
     * True while this node may keep workers' leases alive without deciding anything, if its view of the jobs allows it
     * ({@link Freshness}). It outlasts {@link #valid} by the keep-alive time, which a new leader counts before it takes
     * silence for an end.
     */
    public boolean mayKeepAlive() {
        return leading && loop.now() < validUntil + settings.keepAliveMs();
    }

    public long token() {
        return token;
    }

    /**
     * The lowest token that workers are shown under this leadership. Above it is room for nudges: tokens raised to
     * make a single worker report at once, all of them below any later leader's.
     */
    public long workerToken() {
        return token << Constants.NUDGE_BITS;
    }

    public long keyVersion() {
        return keyVersion;
    }

    /** The leader's node name as last seen, or null. */
    public String knownLeader() {
        return knownLeader;
    }

    /** The highest token this node has seen on the leader key. */
    public long knownToken() {
        return Math.max(knownToken, token);
    }

    /** A worker has seen this token. */
    public void workerSawToken(long seen) {
        sawToken(seen >> Constants.NUDGE_BITS);
    }

    /** A peer or a worker has seen a token over ours: another leader was elected since. */
    public void sawToken(long seen) {
        if (leading && seen > token) {
            depose("token " + seen + " is over ours, " + token);
        }
    }

    /** Gives way at once to a node that serves better, and leaves the next elections to others for a while. */
    public void resign(String why) {
        long ended = lease;
        mayStandAt = loop.now() + Constants.RESIGNED_MS;
        depose(why);
        state.endLease(ended);
    }

    /** Gives way; the key goes with its lease. */
    public void depose(String why) {
        if (!leading) {
            return;
        }
        LOG.info("leadership with token {} ends: {}", token, why);
        leading = false;
        knownLeader = null;
        state.leading(false);
        listener.deposed(why);
        loop.after(Constants.RETRY_MS, this::observe);
    }

    /** Reads the leader key, then stands or waits for its change. */
    private void observe() {
        if (leading) {
            return;
        }
        state.force(0);
        state.get(LEADER_KEY, read -> {
            if (leading) {
                return;
            }
            if (!read.reached()) {
                loop.after(Constants.RETRY_MS + random.nextLong(Constants.STAND_SPREAD_MS), this::observe);
            } else if (read.item().exists() && !mayTakeOver(read.item().value())) {
                follow(read.item().value(), read.item().version());
            } else {
                knownLeader = null;
                long held = read.item().version();
                if (loop.now() < mayStandAt) {
                    loop.after(Constants.RETRY_MS, this::observe);
                } else {
                    loop.after(random.nextLong(Constants.STAND_SPREAD_MS), () -> stand(held));
                }
            }
        });
    }

    /**
     * The key of this node's own earlier life, or of an election of its own that got no answer: nobody leads with it, so
     * its lease need not be waited for. The election replaces just that version, and the new token and the wait for
     * former leaders' answers hold as after any other leader.
     */
    private boolean mayTakeOver(JsonNode leader) {
        return leader.path("node").asText().equals(settings.node()) && loop.now() >= mayStandAt;
    }

    private void follow(JsonNode value, long version) {
        String node = value.path("node").asText();
        if (!node.equals(knownLeader)) {
            LOG.info("leader is {} with token {}", node, value.path("token").asLong());
        }
        // Our own key, left to its end after giving way: nobody leads meanwhile.
        knownLeader = node.equals(settings.node()) ? null : node;
        knownToken = Math.max(knownToken, value.path("token").asLong());
        if (knownLeader != null) {
            listener.follows(knownLeader);
        }
        state.watch(LEADER_KEY, version, Constants.WATCH_MS, watched -> {
            if (watched.reached() && !watched.changes().isEmpty()) {
                StateClient.Change last =
                        watched.changes().get(watched.changes().size() - 1);
                if (last.value() != null) {
                    follow(last.value(), last.version());
                    return;
                }
                knownLeader = null;
            }
            loop.after(watched.reached() ? 0 : Constants.RETRY_MS, this::observe);
        });
    }

    /** {@code held} is the version of our own earlier key that the election replaces, or 0. */
    private void stand(long held) {
        if (leading || standing) {
            return;
        }
        standing = true;
        long sent = loop.now();
        state.createLease(settings.leadershipMs(), fresh -> {
            if (fresh == 0) {
                standing = false;
                loop.after(Constants.RETRY_MS, this::observe);
                return;
            }
            state.force(0);
            state.get(TOKEN_KEY, read -> {
                if (!read.reached()) {
                    standing = false;
                    loop.after(Constants.RETRY_MS, this::observe);
                    return;
                }
                long next = read.item().exists() ? read.item().value().path("n").asLong() + 1 : 1;
                elect(fresh, sent, next, read.item().version(), held);
            });
        });
    }

    private void elect(long fresh, long leaseSent, long next, long tokenVersion, long held) {
        ObjectNode leader = Json.object()
                .put("node", settings.node())
                .put("addr", settings.internalAddress())
                .put("token", next);
        StateClient.Txn txn = new StateClient.Txn()
                .require(LEADER_KEY, held)
                .require(TOKEN_KEY, tokenVersion)
                .put(TOKEN_KEY, Json.object().put("n", next))
                .putLeased(LEADER_KEY, leader, fresh);
        state.force(2);
        state.commit(txn, outcome -> {
            standing = false;
            if (outcome.fate() != StateClient.Fate.APPLIED) {
                boolean lost = outcome.fate() == StateClient.Fate.CONFLICT;
                counters.count(lost ? Event.ELECTION_LOST : Event.ELECTION_UNANSWERED);
                // An election without an answer may have been applied: the key then names us, with nobody leading.
                loop.after(lost ? 0 : Constants.RETRY_MS, this::observe);
                return;
            }
            leading = true;
            token = next;
            keyVersion = outcome.revision();
            lease = fresh;
            validUntil = settings.leadershipEnds(leaseSent);
            knownLeader = settings.node();
            knownToken = Math.max(knownToken, next);
            state.leading(true);
            counters.count(Event.ELECTION_WON);
            LOG.info(
                    "elected with token {} at revision {}, {} ms after standing",
                    token,
                    keyVersion,
                    loop.now() - leaseSent);
            listener.elected(token, keyVersion);
            renewing = false;
            renewAfter(settings.renewMs());
        });
    }

    private void renewAfter(long delayMs) {
        long mine = token;
        renewDueAt = loop.now() + delayMs;
        loop.after(delayMs, () -> {
            if (token == mine) {
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
            renew(token);
        }
    }

    private void renew(long mine) {
        renewing = true;
        long sent = loop.now();
        state.renewLease(lease, status -> {
            if (!leading || token != mine) {
                return;
            }
            renewing = false;
            if (status == 200) {
                validUntil = Math.max(validUntil, settings.leadershipEnds(sent));
            } else if (status == 404) {
                depose("its lease has ended");
                return;
            }
            // Any other answer proves nothing: the lease may outlive an outage, and then we still lead.
            renewAfter(status == 200 ? settings.renewMs() : Constants.RETRY_MS);
        });
    }
}
