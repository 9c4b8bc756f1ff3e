package org.spoolline.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The validated settings of one node, from the platform's settings file.
 *
 * @param node            name of this node, unique among the controllers
 * @param zone            zone in which the node runs; empty when the file names none
 * @param serveOn         host:port on which the node serves users and workers
 * @param internalAddress host:port on which the node serves the other controllers
 * @param peers           the other controllers
 * @param cloudAddress    host:port of the cloud
 * @param storeAddress    host:port of the key-value store
 * @param controllers     number of controllers, including this node
 * @param teams           teams by name, in file order
 * @param objectives      service-level objectives
 * @param workers         timing of the workers
 * @param storeLimits     limits of the key-value store
 * @param cloud           limits of the cloud
 * @param quota           limits of this process
 * @param operator        settings from the optional operator settings file
 */
public record Settings(
        String node,
        String zone,
        String serveOn,
        String internalAddress,
        List<Peer> peers,
        String cloudAddress,
        String storeAddress,
        int controllers,
        Map<String, Team> teams,
        List<Objective> objectives,
        Workers workers,
        StoreLimits storeLimits,
        Cloud cloud,
        Quota quota,
        OperatorSettings operator) {

    /**
     * Another controller of the cluster.
     *
     * @param address host:port of its internal address
     */
    public record Peer(String node, String address) {}

    /**
     * A team's quota: its guaranteed resources and its limits.
     *
     * @param guaranteedCores        cores, 0 or more
     * @param maxCores               cores, over 0, or {@link #UNLIMITED}
     * @param guaranteedAccelerators accelerators, 0 or more
     * @param maxAccelerators        accelerators, over 0, or {@link #UNLIMITED}
     */
    public record Team(
            String name,
            double guaranteedCores,
            double maxCores,
            double guaranteedAccelerators,
            double maxAccelerators) {
        /** The limit of a team that may use all resources that other teams leave free. */
        public static final double UNLIMITED = Double.POSITIVE_INFINITY;

        /** True when this usage is within the limits, up to rounding errors. */
        public boolean allows(double cores, double accelerators) {
            return cores <= maxCores + Constants.Placement.EPSILON
                    && accelerators <= maxAccelerators + Constants.Placement.EPSILON;
        }

        /** True when this usage is within the guaranteed resources, up to rounding errors. */
        public boolean guarantees(double cores, double accelerators) {
            return cores <= guaranteedCores + Constants.Placement.EPSILON
                    && accelerators <= guaranteedAccelerators + Constants.Placement.EPSILON;
        }
    }

    /**
     * A service-level objective for a class of jobs. The fields depend on the kind; later versions may add kinds.
     *
     * @param kind     kind of the objective, which defines what is measured
     * @param jobClass job class; null for all classes, as for the quota guarantee
     * @param withinS  time limit in seconds; null for a kind without one, such as users' deadlines
     * @param share    required share of the jobs or tasks, 0 to 1; null for a kind without one
     */
    public record Objective(String kind, String jobClass, Double withinS, Double share) {}

    /**
     * Timing of the workers.
     *
     * @param heartbeatMs interval in ms between two heartbeats of a worker
     * @param leaseMs     time in ms without a response after which a worker has terminated all its tasks
     * @param gangWaitMs  time in ms for which the first tasks of a gang wait for the others to start
     * @param gangPeerMs  time in ms within which the tasks of a gang detect the loss of one of them
     * @param cancelMs    time in ms after a confirmed cancellation after which no task of the job may run
     */
    public record Workers(long heartbeatMs, long leaseMs, long gangWaitMs, long gangPeerMs, long cancelMs) {}

    /**
     * Limits of the key-value store.
     *
     * @param requestsPerS maximum requests per second of all controllers together
     * @param writesPerS   maximum writes per second of all controllers together
     * @param valueBytes   maximum bytes of a value
     * @param txnOps       maximum writes in a transaction
     * @param announced    limits that the store will enforce from an unknown time on; null when none are announced
     */
    public record StoreLimits(
            double requestsPerS, double writesPerS, int valueBytes, int txnOps, StoreLimits announced) {
        /**
         * The lower of each current and announced limit: valid before and after the store enforces the announced ones.
         */
        public StoreLimits lowestOfCurrentAndAnnounced() {
            return announced == null ? this : lowest(announced);
        }

        /** The lower of each limit, without announced limits. */
        StoreLimits lowest(StoreLimits other) {
            return new StoreLimits(
                    Math.min(requestsPerS, other.requestsPerS),
                    Math.min(writesPerS, other.writesPerS),
                    Math.min(valueBytes, other.valueBytes),
                    Math.min(txnOps, other.txnOps),
                    null);
        }
    }

    /**
     * Limits of the cloud.
     *
     * @param requestsPerS maximum requests per second of all controllers together
     * @param listLagMs    maximum age in ms of the contents of the machine list
     */
    public record Cloud(double requestsPerS, long listLagMs) {}

    /**
     * Resource limits of this process.
     *
     * @param cpuShare share of a CPU core
     * @param memoryMb memory in MB
     * @param sockets  maximum open connections, inbound and outbound
     */
    public record Quota(double cpuShare, double memoryMb, int sockets) {}

    /** A copy with the given operator settings. */
    public Settings with(OperatorSettings operatorSettings) {
        return new Settings(
                node,
                zone,
                serveOn,
                internalAddress,
                peers,
                cloudAddress,
                storeAddress,
                controllers,
                teams,
                objectives,
                workers,
                storeLimits,
                cloud,
                quota,
                operatorSettings);
    }

    /**
     * Duration in ms of a leadership lease. It is extended on a small share of a core: a process that just started on
     * 4% of a core renews its lease more than 5 s late, so that leadership changes after each restart. It is shortened
     * where the cancellation bound requires that.
     */
    public long leadershipMs() {
        double extensionFactor = Math.max(
                1,
                Math.min(
                        Constants.Election.LEADERSHIP_FACTOR_MAX,
                        Constants.Election.SLOW_CPU_SHARE / quota.cpuShare()));
        return Math.min(
                (long) (Constants.Election.LEADERSHIP_MS * extensionFactor),
                (workers.cancelMs() - leaseExpiryMs()) / 2);
    }

    /**
     * Monotonic time in ms until which a node may rely on a leadership lease that was renewed by a request sent at
     * {@code sentAt}, or on a view of the jobs read by such a request. Clock drift and margin are deducted from the
     * lease.
     */
    public long leadershipEndsAt(long sentAt) {
        return sentAt + (long) (leadershipMs() * (1 - Constants.Time.DRIFT)) - Constants.Time.MARGIN_MS;
    }

    /**
     * Time in ms after a commit from which no leader launches a task on a view of the jobs that lacks the commit. Such
     * a view was read by a request sent before the commit, and {@link #leadershipEndsAt} of that time, which deducts
     * clock drift and margin, ends the launches. A node may count from any later time, such as that of the response.
     */
    public long staleLaunchMs() {
        return leadershipMs();
    }

    /** Maximum number of idle connections that are kept open: a small share, since workers need most of the sockets. */
    public int idleConnections() {
        return Math.max(
                NetworkConstants.IDLE_CONNECTIONS_MIN, quota.sockets() / NetworkConstants.SOCKETS_PER_IDLE_CONNECTION);
    }

    /** Maximum number of users' requests that are forwarded to peers at the same time: each occupies a socket. */
    public int maxForwardedRequests() {
        return Math.max(
                NetworkConstants.FORWARDED_REQUESTS_MIN,
                quota.sockets() / NetworkConstants.SOCKETS_PER_FORWARDED_REQUEST);
    }

    /** Maximum number of open inbound connections. */
    public int maxInboundConnections() {
        return Math.max(
                NetworkConstants.IDLE_CONNECTIONS_MIN, (int) (quota.sockets() * NetworkConstants.INBOUND_SOCKET_SHARE));
    }

    /** Maximum size in bytes of a request's head: less with many connections, since each may hold an unfinished one. */
    public int maxHeadBytes() {
        return Math.min(
                NetworkConstants.MAX_HEAD_BYTES, NetworkConstants.MAX_UNFINISHED_HEADS_BYTES / maxInboundConnections());
    }

    /** Maximum number of early-heartbeat requests in flight: each occupies a socket until its response or timeout. */
    public int maxEarlyHeartbeatRequests() {
        return Math.max(
                Constants.Heartbeat.EARLY_HEARTBEAT_REQUESTS_MIN,
                quota.sockets() / Constants.Heartbeat.SOCKETS_PER_EARLY_HEARTBEAT_REQUEST);
    }

    /** Time in ms without a heartbeat after which a machine gets no new work. */
    public long heartbeatOverdueMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_OVERDUE);
    }

    /** Time in ms without a heartbeat of any machine after which a node counts as unreachable for workers. */
    public long heartbeatsMissingMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_MISSING);
    }

    /**
     * Maximum number of pending inbound connections: the socket quota, since all workers may connect at once, but not
     * less than what the kernel allows by default.
     */
    public int backlog() {
        return Math.max(NetworkConstants.BACKLOG_MIN, quota.sockets());
    }

    /**
     * Describes each process limit that is too low to serve in full; empty if there is none. A node with such limits
     * still starts and serves as many requests as they allow.
     */
    public List<String> insufficientLimits() {
        List<String> problems = new ArrayList<>();
        if (quota.memoryMb() < Constants.Process.FULL_HEAP_PROCESS_MB) {
            problems.add("cluster.quota.ram_mb is " + (int) quota.memoryMb() + ", a full heap takes "
                    + Constants.Process.FULL_HEAP_PROCESS_MB);
        }
        if (quota.sockets() < Constants.Process.SOCKETS_NEEDED) {
            problems.add("cluster.quota.sockets is " + quota.sockets() + ", at least "
                    + Constants.Process.SOCKETS_NEEDED + " are needed");
        }
        return problems;
    }

    /** Interval in ms between renewals of the leadership lease. */
    public long renewMs() {
        return Math.max(1, leadershipMs() / Constants.Election.RENEWALS_PER_LEASE);
    }

    /**
     * Time in ms after the end of its leadership for which a leader that can't reach the key-value store may still
     * respond to workers, so that their leases don't expire. The sum of the leadership lease, this time and the
     * workers' lease is less than {@code cancelMs}.
     */
    public long keepAliveMs() {
        return Math.max(0, workers.cancelMs() - workers.leaseMs() - leadershipMs() - Constants.Time.CANCEL_RESERVE_MS);
    }

    /**
     * Time in ms for which a node may cache that a job is not cancelled. A status response about a dependent job may
     * thus miss a cancellation, but only one that was committed well within {@code cancelMs} before.
     */
    public long ancestorCacheMs() {
        return workers.cancelMs() / Constants.Api.ANCESTOR_CACHE_FRACTION;
    }

    /**
     * Time in ms after its last response by which a worker has terminated all its tasks, including drift and margin.
     */
    public long leaseExpiryMs() {
        return (long) (workers.leaseMs() * (1 + Constants.Time.DRIFT)) + Constants.Time.MARGIN_MS;
    }
}
