package org.spoolline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.IntSupplier;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.Json;

/**
 * The status that operators read at {@link Controller#COUNTERS_PATH}: the leader known to this node, whether this node
 * may make decisions, and its counters. Operators' scripts read these fields, so their names must not change.
 */
final class NodeStatus {
    private final String node;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final KeyValueStoreClient store;
    private final MachineTypeCatalog catalog;
    private final StallMonitor stallMonitor;
    private final Counters counters;
    private IntSupplier openConnections = () -> 0;

    NodeStatus(
            String node,
            LeaderElection election,
            StalenessBound staleness,
            KeyValueStoreClient store,
            MachineTypeCatalog catalog,
            StallMonitor stallMonitor,
            Counters counters) {
        this.node = node;
        this.election = election;
        this.staleness = staleness;
        this.store = store;
        this.catalog = catalog;
        this.stallMonitor = stallMonitor;
        this.counters = counters;
    }

    /** Sets the source of the number of open inbound connections. */
    void reportOpenConnections(IntSupplier source) {
        openConnections = source;
    }

    /** The current status. "stalled" is null unless this node is the leader and places no task although jobs wait. */
    ObjectNode toJson() {
        ObjectNode status = Json.object()
                .put("node", node)
                .put("leader", election.knownLeader().orElse(null))
                .put("token", election.highestKnownToken())
                .put("leads", election.isLeader())
                .put("leadershipValid", election.hasValidLease())
                .put("mayLaunch", staleness.mayLaunch())
                .put("stateReachable", store.reachable())
                .put("inboundConnections", openConnections.getAsInt())
                .put("machineTypesKnown", catalog.isKnown())
                .put("stalled", currentStall());
        status.set("counts", counters.toJson());
        return status;
    }

    private String currentStall() {
        StallMonitor.Situation situation =
                election.isLeader() ? stallMonitor.lastSituation().orElse(null) : null;
        return situation == null ? null : situation.toString();
    }
}
