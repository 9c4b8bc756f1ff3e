package org.spoolline;

import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.peer.PeerService;
import org.spoolline.worker.HeartbeatService;

/**
 * Compares the connectivity of this node with that of its peers, to distinguish an outage that affects all nodes from a
 * network failure that affects only this one. All methods are called on the event loop.
 */
final class NodeHealth {
    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final MachineTypeCatalog catalog;
    private final LeaderElection election;
    private final HeartbeatService heartbeatService;
    private final PeerService peerService;

    NodeHealth(
            EventLoop loop,
            KeyValueStoreClient store,
            MachineTypeCatalog catalog,
            LeaderElection election,
            HeartbeatService heartbeatService,
            PeerService peerService) {
        this.loop = loop;
        this.store = store;
        this.catalog = catalog;
        this.election = election;
        this.heartbeatService = heartbeatService;
        this.peerService = peerService;
    }

    /** Probes the key-value store immediately, and then again every {@link Constants.Store#STORE_PROBE_MS}. */
    void probePeriodically() {
        store.probe();
        stepDownIfWorkersReachOnlyPeers();
        loop.after(Constants.Store.STORE_PROBE_MS, this::probePeriodically);
    }

    /**
     * The result of the health check; false makes the load balancer remove this node. A node that cannot reach the
     * key-value store is unhealthy only if a peer can reach it: when the outage affects all nodes, removing them all
     * would not help any client.
     */
    boolean isHealthy() {
        return catalog.isKnown() && (store.reachable() || !peerService.anyPeerReachesStore());
    }

    /** Steps down if workers no longer reach this node but reach a peer, so that the peer can become the leader. */
    private void stepDownIfWorkersReachOnlyPeers() {
        if (election.hasValidLease()
                && heartbeatService.workersUnreachable()
                && peerService.anyPeerReceivesHeartbeats()) {
            election.stepDownAndBackOff("workers reach a peer but not this node");
        }
    }
}
