package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** Workloads and checks that the scenarios share. */
final class Workloads {
    private Workloads() {}

    /** The controllers' names. */
    static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    /** Seconds without a fault at the end of each scenario. */
    static final double RECOVERY_S = 150;

    /** Injects faults into a running simulation. */
    interface Fault {
        void inject(Simulation simulation);
    }

    /**
     * Runs the mixed load, injects the fault at 40 s and leaves time to recover. Every job must reach a terminal state
     * and no invariant may be violated.
     */
    static void runScenario(int seed, double seconds, Fault fault) {
        Simulation simulation = new Simulation(seed);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int n = i;
            simulation.at(3_000 + i * 5_000L, () -> jobs.add(simulation.users.submit(mixedJob(simulation, n))));
        }
        simulation.run(40);
        fault.inject(simulation);
        simulation.at((long) (1_000 * Math.max(0, seconds - RECOVERY_S)), simulation.invariants::faultsEnded);
        simulation.run(seconds);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : jobs) {
            assertTrue(
                    job.status().equals("done") || job.status().equals("aborted"),
                    "seed " + seed + ": " + job.jobId() + " is " + job.status());
        }
        assertTrue(simulation.invariants.starts() > 0, "seed " + seed + ": expected tasks to start");
    }

    /** Asserts at the end of a scenario without cancellations that every job is done and no invariant is violated. */
    static void assertEveryJobDone(Simulation simulation, int seed) {
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : simulation.users.jobs()) {
            assertEquals("done", job.status(), "seed " + seed + ": " + job.jobId());
        }
    }

    /** Creates the n-th job of the mixed load without submitting it. */
    static SimulatedJob mixedJob(Simulation simulation, int n) {
        return switch (n % 4) {
            case 0 -> simulation.users.job("blue", "batch", 12, 1, 15);
            case 1 -> simulation.users.job("red", "group", 2, 7, 20).with("samePlace", true);
            case 2 -> simulation
                    .users
                    .job("red", "batch", 5, 2, 25)
                    .with("bookmarkS", 5.0)
                    .with("stashS", 1.0);
            default -> simulation.users.job("blue", "batch", 7, 2, 10).with("scatter", true);
        };
    }

    /** Returns the name of the leader, or of the first controller while there is no leader. */
    static String leader(Simulation simulation) {
        return simulation.leader() == null ? "node-0" : simulation.leader();
    }

    /** Returns the first live worker with tasks, or the first of all workers if there is none. */
    static FakeWorker busyWorker(Simulation simulation) {
        return simulation.workers().values().stream()
                .filter(w -> !w.isDown() && !w.tasks().isEmpty())
                .findFirst()
                .orElseGet(() -> simulation.workers().values().iterator().next());
    }
}
