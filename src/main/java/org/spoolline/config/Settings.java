package org.spoolline.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The checked settings of one node, from the platform's file. */
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

    /** Another controller. */
    public record Peer(String node, String address) {}

    /** A team's guarantee and limit. */
    public record Team(
            String name,
            double guaranteedCores,
            double maxCores,
            double guaranteedAccelerators,
            double maxAccelerators) {}

    /**
     * What is expected of a class of jobs. Kinds differ in their fields, and kinds may be added.
     *
     * @param jobClass null where all classes are meant, as for the guarantee
     * @param withinS  the time in which it is expected; null where the kind has none, as for users' deadlines
     * @param share    the share of the jobs or tasks; null where the kind has none
     */
    public record Objective(String kind, String jobClass, Double withinS, Double share) {}

    /** Times of the workers, in milliseconds. */
    public record Workers(long heartbeatMs, long leaseMs, long gangWaitMs, long gangPeerMs, long cancelMs) {}

    /**
     * Limits of the state service.
     *
     * @param announced the limits that it will have from some moment on, without notice; null when none are announced
     */
    public record StoreLimits(
            double requestsPerS, double writesPerS, int valueBytes, int txnOps, StoreLimits announced) {
        /** The least of what holds now and what is announced. */
        public StoreLimits lowestAnnounced() {
            return announced == null
                    ? this
                    : new StoreLimits(
                            Math.min(requestsPerS, announced.requestsPerS),
                            Math.min(writesPerS, announced.writesPerS),
                            Math.min(valueBytes, announced.valueBytes),
                            Math.min(txnOps, announced.txnOps),
                            null);
        }
    }

    /** Limits of the cloud. */
    public record Cloud(double requestsPerS, long listLagMs) {}

    /** Limits of this process. */
    public record Quota(double cpuShare, double memoryMb, int sockets) {}

    /** The same node with the operators' own settings. */
    public Settings with(OperatorSettings own) {
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
                own);
    }

    /**
     * Ms of a leadership lease: its usual time, more on a small share of a core, or less where the cancellation bound
     * leaves less. A cold process on 4% of a core was late with its renewals for longer than 5 s, and leaders followed
     * one another after each restart.
     */
    public long leadershipMs() {
        double times = Math.max(
                1,
                Math.min(
                        Constants.Election.LEADERSHIP_FACTOR_MAX,
                        Constants.Election.SLOW_CPU_SHARE / quota.cpuShare()));
        return Math.min((long) (Constants.Election.LEADERSHIP_MS * times), (workers.cancelMs() - leaseExpiryMs()) / 2);
    }

    /** When a leadership, or a view of the jobs, ends that dates from a request sent then: less drift and margin. */
    public long leadershipEndsAt(long sent) {
        return sent + (long) (leadershipMs() * (1 - Constants.Time.DRIFT)) - Constants.Time.MARGIN_MS;
    }

    /** Idle connections to others that are kept open: a share of the sockets, most of which the workers need. */
    public int idleConnections() {
        return Math.max(
                Constants.Network.IDLE_CONNECTIONS_MIN,
                quota.sockets() / Constants.Network.SOCKETS_PER_IDLE_CONNECTION);
    }

    /** Nudges under way at once: each takes a socket, until its time is over where the machine is silent. */
    public int maxEarlyHeartbeatRequests() {
        return Math.max(
                Constants.Heartbeat.EARLY_HEARTBEAT_REQUESTS_MIN,
                quota.sockets() / Constants.Heartbeat.SOCKETS_PER_EARLY_HEARTBEAT_REQUEST);
    }

    /** Ms without a check-in after which a machine gets no new work. */
    public long heartbeatOverdueMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_OVERDUE);
    }

    /** Ms without any check-in after which a node counts as one that workers don't reach. */
    public long heartbeatsMissingMs() {
        return (long) (workers.heartbeatMs() * Constants.Heartbeat.HEARTBEATS_MISSING);
    }

    /** Connections that may wait to be accepted: all that the sockets allow, since all workers may come at once. */
    public int backlog() {
        return Math.max(Constants.Network.IDLE_CONNECTIONS_MIN, quota.sockets());
    }

    /** What the settings give too little of, in words; the node serves as far as it can. */
    public List<String> shortages() {
        List<String> found = new ArrayList<>();
        if (quota.memoryMb() < Constants.Process.FULL_HEAP_PROCESS_MB) {
            found.add("cluster.quota.ram_mb is " + (int) quota.memoryMb() + ", a full heap takes "
                    + Constants.Process.FULL_HEAP_PROCESS_MB);
        }
        if (quota.sockets() < Constants.Process.SOCKETS_NEEDED) {
            found.add("cluster.quota.sockets is " + quota.sockets() + ", at least " + Constants.Process.SOCKETS_NEEDED
                    + " are needed");
        }
        return found;
    }

    /** Ms between renewals of the leadership lease. */
    public long renewMs() {
        return Math.max(1, leadershipMs() / Constants.Election.RENEWALS_PER_LEASE);
    }

    /**
     * Ms for which a leader that lost the state service may go on answering workers so that their leases live,
     * on top of its leadership time. Leadership, this and the workers' lease together stay under cancel_s.
     */
    public long keepAliveMs() {
        return Math.max(0, workers.cancelMs() - workers.leaseMs() - leadershipMs() - Constants.Time.CANCEL_RESERVE_MS);
    }

    /**
     * Ms for which a node may remember that a job was not cancelled when it was last read: an answer about a job that needs
     * it is then well within cancel_s of any cancellation that it misses.
     */
    public long ancestorCacheMs() {
        return workers.cancelMs() / Constants.Api.ANCESTOR_CACHE_FRACTION;
    }

    /** Ms after which a worker not answered has ended all its tasks, with drift and margin. */
    public long leaseExpiryMs() {
        return (long) (workers.leaseMs() * (1 + Constants.Time.DRIFT)) + Constants.Time.MARGIN_MS;
    }
}
