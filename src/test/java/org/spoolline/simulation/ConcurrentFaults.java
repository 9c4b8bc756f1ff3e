package org.spoolline.simulation;

import static org.spoolline.simulation.Workloads.NODES;

import java.util.List;

/** Helpers shared by the scenarios of concurrent faults. */
final class ConcurrentFaults {
    private ConcurrentFaults() {}

    /** The workers whose machines are up. */
    static List<FakeWorker> liveWorkers(Simulation simulation) {
        return simulation.workers().values().stream().filter(w -> !w.dead()).toList();
    }

    /** Sets the state of a host's links to every controller but the named one, both ways. */
    static void partitionFromControllers(Simulation simulation, String host, String but, Simulation.Cut how) {
        for (String node : NODES) {
            if (!node.equals(host) && !node.equals(but)) {
                simulation.cut(host, node, how);
            }
        }
    }

    /** Users cancel every n-th job that is accepted and not in a terminal state; returns how many. */
    static int cancelEveryNth(Simulation simulation, int every) {
        int n = 0;
        int called = 0;
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            if (job.accepted() && !List.of("done", "aborted").contains(job.status()) && n++ % every == 0) {
                simulation.users.cancel(job);
                called++;
            }
        }
        return called;
    }

    /** Submits an array whose tasks outlast leases and elections. */
    static SimulatedUsers.Job submitLongJob(Simulation simulation, String team, int tasks, double cores) {
        return simulation.users.submit(simulation.users.job(team, "batch", tasks, cores, 70));
    }
}
