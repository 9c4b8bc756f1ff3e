package org.spoolline;

import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Constants;
import org.spoolline.election.LeaderElection;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.peer.PeerService;
import org.spoolline.worker.HeartbeatService;

/**
 * Compares what this node reaches with what its peers reach, to tell an outage common to all from a node that is cut off
 * alone. Used on the event loop only.
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

    /** Probes the key-value store now and every {@link Constants.Store#STORE_PROBE_MS} from now on. */
    void probePeriodically() {
        store.probe();
        stepDownIfWorkersReachOnlyPeers();
        loop.after(Constants.Store.STORE_PROBE_MS, this::probePeriodically);
    }

    /**
     * False takes the node out of the load balancer. In an outage common to all nodes that would help nobody, so a node
     * without the key-value store stays in unless a peer still reaches it.
     */
    boolean isHealthy() {
        return catalog.isKnown() && (store.reachable() || !peerService.anyPeerReachesStore());
    }

    /** Hands leadership to a node that the workers reach when they have stopped reaching this one. */
    private void stepDownIfWorkersReachOnlyPeers() {
        if (election.hasValidLease()
                && heartbeatService.workersUnreachable()
                && peerService.anyPeerReceivesHeartbeats()) {
            election.stepDownAndBackOff("workers reach a peer but not this node");
        }
    }
}
