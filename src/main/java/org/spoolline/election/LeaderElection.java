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
 * Leader election: whether this node leads, with which fencing token, and which node leads otherwise.
 *
 * <p>The desired state is that some node leads. {@link LeaderKeyObserver} watches the leader key, {@link Campaign} tries
 * to set it when no other node holds it, and {@link LeaseKeeper} renews the lease that it lives on.
 *
 * <p>Safety rests on two rules (docs/design.md, "Leadership"). A leader decides and answers only while
 * {@link #hasValidLease}, checked at the moment of each answer; in that time the store elects nobody else. And every
 * write of a leader requires {@link #leaderKeyVersion}, so a write of a former leader that arrives late is not applied.
 *
 * <p>All methods are called on the event loop.
 */
public final class LeaderElection {
    /** Key that names the leader. It lives on the leader's lease. */
    public static final String LEADER_KEY = "leader";

    /** Key of the counter that fencing tokens are taken from. It is never removed. */
    public static final String TOKEN_KEY = "token";

    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    /** What the rest of the node does when leadership changes. */
    public interface Listener {
        /**
         * This node leads.
         *
         * @param token the fencing token of the new term
         * @param keyVersion the version of the leader key, which every write of this term requires
         */
        void elected(long token, long keyVersion);

        /** Another node is seen to lead. */
        void leaderObserved(String leader);

        /** This node does not lead any more. */
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
    /** Keeper of the present or the last term's lease; null before the first election. */
    private LeaseKeeper leaseKeeper;

    /** An election that does nothing before {@link #start}. */
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

    /** Begins to observe the leader key, and to campaign when no other node leads. */
    public void start() {
        observer.readLeaderKey();
    }

    /** True from an election until this node steps down, whether its lease is still valid or not. */
    public boolean isLeader() {
        return leading;
    }

    /** True while this node may decide and commit. To be checked at the moment of each answer. */
    public boolean hasValidLease() {
        return leading && loop.now() < leaseKeeper.validUntil();
    }

    /**
     * True while this node may keep workers' leases alive without deciding anything, if its view of the jobs allows it
     * ({@link StalenessBound}). It outlasts {@link #hasValidLease} by the keep-alive time, so that a short outage of the
     * store costs no work; a new leader waits that long before it takes a machine without heartbeats for lost.
     */
    public boolean mayKeepAlive() {
        return leading && loop.now() < leaseKeeper.validUntil() + settings.keepAliveMs();
    }

    /** The fencing token of this node's present or last term; 0 before its first. */
    public long fencingToken() {
        return fencingToken;
    }

    /**
     * The lowest token that workers are shown in this term. The tokens from here to the next term's are used for
     * early-heartbeat requests: a raised token makes a single worker send a heartbeat at once.
     */
    public long workerFencingToken() {
        return fencingToken << Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS;
    }

    /** The version of the leader key that this node's present or last term wrote. */
    public long leaderKeyVersion() {
        return leaderKeyVersion;
    }

    /** The leader's node name as last seen, if one is known. */
    public Optional<String> knownLeader() {
        return observer.knownLeader();
    }

    /** The highest fencing token that this node has seen on the leader key; 0 when it has seen none. */
    public long highestKnownToken() {
        return observer.highestKnownToken();
    }

    /** A worker has seen this token, which may include early-heartbeat requests. */
    public void observeWorkerToken(long workerToken) {
        observeToken(workerToken >> Constants.Heartbeat.EARLY_HEARTBEAT_TOKEN_BITS);
    }

    /** A peer or a worker has seen this fencing token: if it is higher, another leader was elected since. */
    public void observeToken(long token) {
        if (leading && token > fencingToken) {
            stepDown("higher token observed: " + token);
        }
    }

    /**
     * Steps down in favour of a node that serves better, and leaves the next campaigns to others for a while. The lease
     * is ended, so that they need not wait for its expiry. Called only while this node leads.
     */
    public void stepDownAndBackOff(String reason) {
        long leaseId = leaseKeeper.leaseId();
        observer.backOff();
        stepDown(reason);
        store.endLease(leaseId);
    }

    /** Steps down, if this node leads. The leader key goes when its lease ends. */
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
     * Renews the lease if that is due. Called before each request too: on a small share of a core the loop is busy with
     * hundreds of workers after a start and comes to its timers so late that the lease would expire without a renewal.
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

    /** What the leader key's observer learns. */
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

    /** What follows a campaign. */
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
