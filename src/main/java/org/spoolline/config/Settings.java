package org.spoolline.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The checked settings of one node, from the platform's file.
 *
 * @param node            name of this node, unique among the controllers
 * @param zone            zone in which the node runs; empty when the file names none
 * @param serveOn         host:port on which the node serves users and workers
 * @param internalAddress host:port on which it serves the other controllers
 * @param peers           the other controllers
 * @param cloudAddress    host:port of the cloud
 * @param storeAddress    host:port of the key-value store
 * @param controllers     number of controllers, this node among them
 * @param teams           teams by name, in the order of the file
 * @param objectives      service-level objectives
 * @param workers         times of the workers
 * @param storeLimits     limits of the key-value store
 * @param cloud           limits of the cloud
 * @param quota           limits of this process
 * @param operator        what operators tune in a file of their own
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
     * Another controller.
     *
     * @param address host:port of its internal address
     */
    public record Peer(String node, String address) {}

    /**
     * A team's quota: what it is guaranteed, and the most that it may use.
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
        /** The limit of a team that may use whatever others leave. */
        public static final double UNLIMITED = Double.POSITIVE_INFINITY;
    }

    /**
     * A service-level objective for a class of jobs. Kinds differ in their fields, and kinds may be added.
     *
     * @param kind     what is measured
     * @param jobClass null for all classes, as for the quota guarantee
     * @param withinS  seconds in which it is to be reached; null for a kind without, as for users' deadlines
     * @param share    share of the jobs or tasks that are to reach it, 0 to 1; null for a kind without
     */
    public record Objective(String kind, String jobClass, Double withinS, Double share) {}

    /**
     * Times of the workers.
     *
     * @param heartbeatMs ms between two heartbeats of a worker
     * @param leaseMs     ms without a response after which a worker has ended all of its tasks
     * @param gangWaitMs  ms for which the first tasks of a gang wait for the others to start
     * @param gangPeerMs  ms in which the tasks of a gang notice that one of them was lost
     * @param cancelMs    ms after a confirmed cancellation by which no task of the job may run
     */
    public record Workers(long heartbeatMs, long leaseMs, long gangWaitMs, long gangPeerMs, long cancelMs) {}

    /**
     * Limits of the key-value store.
     *
     * @param requestsPerS requests a second of all controllers together
     * @param writesPerS   changes a second of all controllers together
     * @param valueBytes   bytes of a value
     * @param txnOps       changes in a transaction
     * @param announced    limits that will hold from some moment on, without notice; null when none are announced
     */
    public record StoreLimits(
            double requestsPerS, double writesPerS, int valueBytes, int txnOps, StoreLimits announced) {
        /** Limits that hold now and go on to hold once the announced ones do: the lower of each. */
        public StoreLimits lowestOfCurrentAndAnnounced() {
            return announced == null ? this : lowest(announced);
        }

        /** The lower of each limit, with none announced. */
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
     * @param requestsPerS requests a second of all controllers together
     * @param listLagMs    ms by which its list of machines may be out of date
     */
    public record Cloud(double requestsPerS, long listLagMs) {}

    /**
     * Limits of this process.
     *
     * @param cpuShare share of a core
     * @param memoryMb MB of memory
     * @param sockets  open connections, in and out
     */
    public record Quota(double cpuShare, double memoryMb, int sockets) {}

    /** The same settings but for those of the operators. */
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
     * Ms of a leadership lease: longer than usual on a small share of a core, shorter where the cancellation bound requires
     * it. A process that had just started on 4% of a core was late with its renewals for longer than 5 s, so that after each
     * restart one leader replaced the other.
     */
    public long leadershipMs() {
        double times = Math.max(
                1,
                Math.min(
                        Constants.Election.LEADERSHIP_FACTOR_MAX,
                        Constants.Election.SLOW_CPU_SHARE / quota.cpuShare()));
        return Math.min((long) (Constants.Election.LEADERSHIP_MS * times), (workers.cancelMs() - leaseExpiryMs()) / 2);
    }

    /**
     * When a leadership lease ends that was renewed by a request sent at {@code sentAt}, in ms of monotonic time; the same
     * for a view of the jobs that was read by such a request. Earlier than the lease itself by drift and margin.
     */
    public long leadershipEndsAt(long sentAt) {
        return sentAt + (long) (leadershipMs() * (1 - Constants.Time.DRIFT)) - Constants.Time.MARGIN_MS;
    }

    /** Idle connections that are kept open at most: a share of the sockets, since the workers' connections need most. */
    public int idleConnections() {
        return Math.max(
                Constants.Network.IDLE_CONNECTIONS_MIN,
                quota.sockets() / Constants.Network.SOCKETS_PER_IDLE_CONNECTION);
    }

    /** Early-heartbeat requests in flight at once: each takes a socket, until its timeout if the machine doesn't answer. */
    public int maxEarlyHeartbeatRequests() {
        return Math.max(
                Constants.Heartbeat.EARLY_HEARTBEAT_REQUESTS_MIN,
                quota.sockets() / Constants.Heartbeat.SOCKETS_PER_EARLY_HEARTBEAT_REQUEST);
    }

    /** Ms since its last heartbeat after which a machine gets no new work. */
    public long heartbeatOverdueMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_OVERDUE);
    }

    /** Ms without a heartbeat of any machine after which a node counts as one that workers don't reach. */
    public long heartbeatsMissingMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_MISSING);
    }

    /** Connections that may wait to be accepted: all that the sockets allow, since all workers may connect at once. */
    public int backlog() {
        return Math.max(Constants.Network.IDLE_CONNECTIONS_MIN, quota.sockets());
    }

    /** Limits of the process that are too low, one text each; a node with such limits serves as far as it can. */
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

    /** Ms between renewals of the leadership lease. */
    public long renewMs() {
        return Math.max(1, leadershipMs() / Constants.Election.RENEWALS_PER_LEASE);
    }

    /**
     * Ms after the end of its leadership for which a leader that can't reach the key-value store may go on answering workers,
     * so that their leases don't expire. Leadership, this time and the workers' lease together end before {@code cancelMs}.
     */
    public long keepAliveMs() {
        return Math.max(0, workers.cancelMs() - workers.leaseMs() - leadershipMs() - Constants.Time.CANCEL_RESERVE_MS);
    }

    /**
     * Ms for which a node may rely on a job's being not cancelled when it was last read. A response about a job that depends
     * on it then is well within {@code cancelMs} of any cancellation that it misses.
     */
    public long ancestorCacheMs() {
        return workers.cancelMs() / Constants.Api.ANCESTOR_CACHE_FRACTION;
    }

    /** Ms after its last response after which a worker has ended all of its tasks, with drift and margin. */
    public long leaseExpiryMs() {
        return (long) (workers.leaseMs() * (1 + Constants.Time.DRIFT)) + Constants.Time.MARGIN_MS;
    }
}
