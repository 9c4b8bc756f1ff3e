package org.spoolline.election;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;

/**
 * Leader election: tracks whether this node is the leader, its fencing token, and otherwise which node is the leader.
 *
 * <p>{@link LeaderKeyObserver} watches the leader key, {@link Campaign} tries to write the key when no other node holds
 * it, and {@link LeaseKeeper} renews the lease that the key is attached to.
 *
 * <p>Two rules ensure safety (docs/design.md, "Leadership"). First, a leader makes decisions and sends responses that
 * depend on them only while {@link #hasValidLease} is true, checked again for each response; during that time no other
 * node can win an election. Second, every write of a leader requires {@link #leaderKeyVersion}, so the store rejects a
 * late write of a former leader.
 *
 * <p>All methods are called on the event loop.
 */
public final class LeaderElection {
    /** Key that names the leader. It is attached to the leader's lease. */
    public static final String LEADER_KEY = "leader";

    /** Key of the counter that generates the fencing tokens. It is never deleted, so tokens never repeat. */
    public static final String TOKEN_KEY = "token";

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    /** Receives changes of leadership. */
    public interface Listener {
        /**
         * This node was elected leader.
         *
         * @param token the fencing token of the new term
         * @param keyVersion the version of the leader key, which every write of this term requires
         */
        void elected(long token, long keyVersion);

        /** The leader key names another node as the leader. */
        void leaderObserved(String leader);

        /** This node is no longer the leader. */
        void steppedDown(String reason);
    }

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Listener listener;
    private final Counters counters;
    private final LeaderKeyObserver observer;
    private final Campaign campaign;

    private boolean leading;
    private long fencingToken;
    private long leaderKeyVersion;
    /** Renews the lease of the current or the last term; null before this node is first elected. */
    private LeaseKeeper leaseKeeper;

    /** Creates an election, which sends no request before {@link #start}. */
    public LeaderElection(
            EventLoop loop,
            RandomGenerator random,
            KeyValueStoreClient store,
            Settings settings,
            Listener listener,
            Counters counters) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
        this.listener = listener;
        this.counters = counters;
        this.observer = new LeaderKeyObserver(loop, random, store, settings, new ObserverCallbacks());
        this.campaign = new Campaign(loop, store, settings, new CampaignListener());
    }

    /** Starts to observe the leader key; this node campaigns whenever no other node is the leader. */
    public void start() {
        observer.readLeaderKey();
    }

    /** True from this node's election until it steps down, even if its lease has expired meanwhile. */
    public boolean isLeader() {
        return leading;
    }

    /** True while this node may make decisions and commit them. Check it again immediately before each response. */
    public boolean hasValidLease() {
        return leading && loop.now() < leaseKeeper.validUntil();
    }

    /**
     * True while this node may renew workers' leases without making any other decision; its view of the jobs must also
     * be recent enough ({@link StalenessBound}). This period exceeds that of {@link #hasValidLease} by the keep-alive
     * time, so that running tasks survive a short outage of the store. A new leader therefore waits for the keep-alive
     * time before it declares a machine without heartbeats lost.
     */
    public boolean mayRenewWorkerLeases() {
        return leading && loop.now() < leaseKeeper.validUntil() + settings.keepAliveMs();
    }

    /** The fencing token of this node's current or last term; 0 before its first term. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * The lowest token that this leader sends to workers in its term. The tokens between this one and the lowest of the
     * next term serve as early-heartbeat requests: a worker that receives a higher token sends a heartbeat immediately.
     */
    public long workerFencingToken() {
        return fencingToken << Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS;
    }

    /** The version of the leader key that this node wrote for its current or last term. */
    public long leaderKeyVersion() {
        return leaderKeyVersion;
    }

    /** The node name of the last observed leader; empty if no leader is known. */
    public Optional<String> knownLeader() {
        return observer.knownLeader();
    }

    /** The highest fencing token that this node has read from the leader key or obtained itself; 0 if none. */
    public long highestKnownToken() {
        return observer.highestKnownToken();
    }

    /** Handles the token that a worker reports, in whose low bits the early-heartbeat requests are counted. */
    public void observeWorkerToken(long workerToken) {
        observeToken(workerToken >> Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS);
    }

    /** Handles a fencing token that a peer or a worker reports; a higher one proves that a later leader was elected. */
    public void observeToken(long token) {
        if (leading && token > fencingToken) {
            stepDown("higher token observed: " + token);
        }
    }

    /**
     * Steps down so that a node that is better able to serve can take over, and does not campaign during the back-off
     * time. Ends the lease, so that other nodes need not wait for it to expire. Called only while this node leads.
     */
    public void stepDownAndBackOff(String reason) {
        long leaseId = leaseKeeper.leaseId();
        observer.backOff();
        stepDown(reason);
        store.endLease(leaseId);
    }

    /** Steps down if this node is the leader. The store deletes the leader key when its lease ends. */
    public void stepDown(String reason) {
        if (!leading) {
            return;
        }
        LOG.info("Lost leadership: leader={} token={} reason={}", settings.node(), fencingToken, reason);
        leading = false;
        leaseKeeper.stop();
        observer.clearKnownLeader();
        store.setLeader(false);
        listener.steppedDown(reason);
        observer.readLeaderKeyAfter(Constants.Time.RETRY_MS);
    }

    /**
     * Renews the lease if a renewal is due. The node also calls this before it serves each request: with a small share
     * of a core, the event loop is busy with the requests of hundreds of workers after a start, and its timers run so
     * late that the lease would expire without a renewal.
     */
    public void renewIfDue() {
        if (leading) {
            leaseKeeper.renewIfDue();
        }
    }

    private void beginTerm(Campaign.Term term) {
        fencingToken = term.token();
        leaderKeyVersion = term.leaderKeyVersion();
        leaseKeeper = new LeaseKeeper(
                loop, store, settings, term.leaseId(), term.leaseRequestSentAt(), () -> stepDown("lease expired"));
        leading = true;
        observer.localNodeElected(fencingToken);
        store.setLeader(true);
        counters.count(Event.ELECTION_WON);
        LOG.info(
                "Elected leader: leader={} token={} revision={} campaign_ms={}",
                settings.node(),
                fencingToken,
                leaderKeyVersion,
                loop.now() - term.leaseRequestSentAt());
        listener.elected(fencingToken, leaderKeyVersion);
        leaseKeeper.start();
    }

    /** Connects the observer of the leader key to this election. */
    private final class ObserverCallbacks implements LeaderKeyObserver.Callbacks {
        @Override
        public boolean isLeader() {
            return leading;
        }

        @Override
        public void leaderObserved(String leader) {
            listener.leaderObserved(leader);
        }

        @Override
        public void campaignPermitted(long keyVersion) {
            if (!leading) {
                campaign.start(keyVersion);
            }
        }
    }

    /** Handles the outcome of this node's campaigns. */
    private final class CampaignListener implements Campaign.Listener {
        @Override
        public void won(Campaign.Term term) {
            beginTerm(term);
        }

        @Override
        public void lost() {
            counters.count(Event.ELECTION_LOST);
            observer.readLeaderKeyAfter(0);
        }

        @Override
        public void outcomeUnknown() {
            counters.count(Event.ELECTION_UNANSWERED);
            observer.readLeaderKeyAfter(Constants.Time.RETRY_MS);
        }

        @Override
        public void storeUnavailable() {
            observer.readLeaderKeyAfter(Constants.Time.RETRY_MS);
        }
    }
}
