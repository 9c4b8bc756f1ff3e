package org.spoolline.simulation;

import static org.spoolline.simulation.Workloads.NODES;

import java.util.List;

/** Helpers shared by the scenarios of concurrent faults. */
final class ConcurrentFaults {
    private ConcurrentFaults() {}

    /** Returns the workers whose machines are up. */
    static List<FakeWorker> liveWorkers(Simulation simulation) {
        return simulation.workers().values().stream().filter(w -> !w.isDown()).toList();
    }

    /** Returns the name of the first controller that is not the leader. */
    static String firstFollower(Simulation simulation) {
        String leader = Workloads.leader(simulation);
        return NODES.stream()
                .filter(controller -> !controller.equals(leader))
                .findFirst()
                .orElseThrow();
    }

    /** Sets the state of a host's links to every other controller, both ways. */
    static void setLinksToControllers(Simulation simulation, String host, LinkState state) {
        setLinksToControllersExcept(simulation, host, host, state);
    }

    /** Sets the state of a host's links to every other controller but the named one, both ways. */
    static void setLinksToControllersExcept(Simulation simulation, String host, String except, LinkState state) {
        for (String controller : NODES) {
            if (!controller.equals(host) && !controller.equals(except)) {
                simulation.network.setLink(host, controller, state);
            }
        }
    }

    /** Cancels every n-th job that is accepted and not in a terminal state; returns the number of cancelled jobs. */
    static int cancelEveryNth(Simulation simulation, int every) {
        int n = 0;
        int cancelled = 0;
        for (SimulatedJob job : simulation.users.jobs()) {
            if (job.accepted() && !List.of("done", "aborted").contains(job.status()) && n++ % every == 0) {
                simulation.users.cancel(job);
                cancelled++;
            }
        }
        return cancelled;
    }

    /** Submits an array job whose tasks run for longer than leases and elections last. */
    static SimulatedJob submitLongJob(Simulation simulation, String team, int tasks, double cores) {
        return simulation.users.submit(simulation.users.job(team, "batch", tasks, cores, 70));
    }
}
