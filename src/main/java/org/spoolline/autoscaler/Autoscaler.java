package org.spoolline.autoscaler;

import java.util.List;
import java.util.function.Predicate;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.ResourceDemand;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Adapts the number of machines to the demand while this node is the leader: reads the cloud's machine list, acquires
 * machines for tasks that lack capacity and releases machines that are idle, lost or failed. Used on the event loop
 * only.
 */
public final class Autoscaler {
    private final EventLoop loop;
    private final MachineTypeCatalog catalog;
    private final CloudClient cloud;
    private final MachineListing listing;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private long typesRequestedAt;

    /**
     * Creates an autoscaler that does nothing until this node is elected.
     *
     * @param onChange runs after each response of the cloud that may change the capacity available to the scheduler
     */
    public Autoscaler(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            LeaderElection election,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            Runnable onChange) {
        this.loop = loop;
        this.catalog = catalog;
        cloud = new CloudClient(loop, http, settings);
        scaleIn = new ScaleIn(cloud, settings, catalog, machines, onChange);
        scaleOut = new ScaleOut(loop, cloud, election, catalog, machines, onChange);
        listing = new MachineListing(loop, cloud, settings, election, machines, scaleIn::releaseFailed, onChange);
    }

    /**
     * Starts a term and discards all state of earlier terms. Machines that the previous leader acquired are read from
     * the cloud's machine list.
     */
    public void elected(long token) {
        long now = loop.now();
        cloud.beginTerm(token);
        listing.beginTerm();
        scaleOut.beginTerm();
        scaleIn.beginTerm(now);
        typesRequestedAt = now;
    }

    /** Ends the term; responses to requests still in flight are ignored. */
    public void steppedDown() {
        cloud.endTerm();
    }

    /**
     * Runs one pass. Acquires and releases machines only after the machine list and the machine types have been read.
     *
     * @param demands           tasks that lack capacity, most urgent first
     * @param recentDemandCores cores that jobs requested recently; idle machines are retained up to this number of
     *     cores
     * @param holdsWork         tests by name whether a machine has attempts or is expected to receive work, so that it
     *     is not idle
     */
    public void reconcile(List<ResourceDemand> demands, double recentDemandCores, Predicate<String> holdsWork) {
        long now = loop.now();
        listing.refreshIfDue(now);
        refreshTypesIfDue(now);
        if (!listing.isComplete() || !catalog.isKnown()) {
            return;
        }
        scaleOut.acquire(demands, now);
        scaleIn.release(recentDemandCores, holdsWork, now);
    }

    private void refreshTypesIfDue(long now) {
        if (now - typesRequestedAt >= Constants.Autoscaling.MACHINE_TYPES_REFRESH_MS && cloud.tryAcquire(now)) {
            typesRequestedAt = now;
            catalog.refresh(succeeded -> {});
        }
    }
}
