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
 * Adapts the set of machines to the demand while this node leads: reads the cloud's machine list, acquires machines for
 * tasks without capacity and releases those that are idle, lost or failed. Confined to the event loop.
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
     * Creates an autoscaler that does nothing until the node is elected.
     *
     * @param onChange runs whenever a reply of the cloud may change what the scheduler can do
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

    /** Starts a term of leadership without any state: what the former leader acquired shows in the machine list. */
    public void elected(long token) {
        long now = loop.now();
        cloud.beginTerm(token);
        listing.beginTerm();
        scaleOut.beginTerm();
        scaleIn.beginTerm(now);
        typesRequestedAt = now;
    }

    /** Ends the term: replies still under way have no effect. */
    public void steppedDown() {
        cloud.endTerm();
    }

    /**
     * Makes one pass. Machines are acquired and released only once the machine list and the types are known.
     *
     * @param demands           tasks without capacity, most urgent first
     * @param recentDemandCores cores that jobs requested recently; idle machines are kept for as many
     * @param holdsWork         true for the name of a machine that runs tasks or is reserved for some
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
