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
 * The components of a controller node that the scheduler uses.
 *
 * @param loop      the event loop on which every method of the scheduler runs
 * @param settings  settings of the node
 * @param store     client of the key-value store
 * @param election  leader election of this node
 * @param staleness bound on how stale the leader's view of the jobs may be
 * @param catalog   machine types that the cloud offers
 * @param machines  machines that the leader knows
 * @param jobs      live jobs that the leader knows
 * @param counters  event counters
 * @param stallMonitor    monitor that logs why a leader places no tasks while jobs wait
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
        StallMonitor stallMonitor) {}
