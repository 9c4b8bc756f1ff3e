package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** What the stories share: a mixed load, its machines and its leader. */
final class Workloads {
    private Workloads() {}

    /** The controllers' names. */
    static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    /** Seconds without trouble at the end of each day. */
    static final double CALM_S = 150;

    interface Trouble {
        void strike(Simulation simulation);
    }

    /** A mixed load, trouble at 40 s, and enough time to recover; every job must end and no rule may break. */
    static void day(int seed, double seconds, Trouble trouble) {
        Simulation simulation = new Simulation(seed);
        List<SimulatedUsers.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            int n = i;
            simulation.at(3_000 + i * 5_000L, () -> jobs.add(simulation.users.submit(jobOf(simulation, n))));
        }
        simulation.run(40);
        trouble.strike(simulation);
        simulation.at((long) (1_000 * Math.max(0, seconds - CALM_S)), simulation.invariants::troublesAreOver);
        simulation.run(seconds);
        simulation.invariants.dayIsOver();
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (SimulatedUsers.Job job : jobs) {
            assertTrue(
                    job.status().equals("done") || job.status().equals("aborted"),
                    "seed " + seed + ": " + job.jobId() + " is " + job.status());
        }
        assertTrue(simulation.invariants.starts() > 0);
    }

    /** The end of a day on which nobody cancels. */
    static void everyJobIsDone(Simulation simulation, int seed) {
        simulation.invariants.dayIsOver();
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            assertEquals("done", job.status(), "seed " + seed + ": " + job.jobId());
        }
    }

    static SimulatedUsers.Job jobOf(Simulation simulation, int n) {
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

    static String leader(Simulation simulation) {
        return simulation.leader() == null ? "node-0" : simulation.leader();
    }

    static FakeWorker busy(Simulation simulation) {
        return simulation.workers().values().stream()
                .filter(w -> !w.dead() && !w.tasks().isEmpty())
                .findFirst()
                .orElseGet(() -> simulation.workers().values().iterator().next());
    }
}
