package org.spoolline.scheduler;

import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.EventLoop;

/**
 * What the scheduler shares with the other components of a controller node.
 *
 * @param loop      the event loop on which every method of the scheduler runs
 * @param settings  settings of the node
 * @param store     client of the key-value store
 * @param election  the node's part in the leader election
 * @param staleness bound on the age of the leader's view of the jobs
 * @param catalog   machine types that the cloud offers
 * @param machines  machines known to the leader
 * @param jobs      live jobs known to the leader
 * @param counters  event counters
 * @param stalls    monitor of a leader that places nothing
 */
public record SchedulerContext(
        EventLoop loop,
        Settings settings,
        KeyValueStoreClient store,
        LeaderElection election,
        StalenessBound staleness,
        MachineTypeCatalog catalog,
        MachineRegistry machines,
        JobTable jobs,
        Counters counters,
        StallMonitor stalls) {}
