package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Five jobs in four stages, each of which depends on the previous stage. The second stage has two jobs. Each job is
 * submitted once its dependencies are accepted.
 */
final class DependencyChain {
    final Simulation simulation;
    final SimulatedJob firstStage;
    final List<SimulatedJob> secondStage = new ArrayList<>();
    final SimulatedJob thirdStage;
    final SimulatedJob lastStage;
    final List<SimulatedJob> jobs = new ArrayList<>();

    DependencyChain(Simulation simulation) {
        this.simulation = simulation;
        firstStage = simulation.users.job("blue", "batch", 3, 1, 8);
        secondStage.add(simulation.users.job("blue", "batch", 6, 2, 10).dependingOn(firstStage));
        secondStage.add(simulation.users.job("red", "batch", 2, 2, 12).dependingOn(firstStage));
        thirdStage = simulation
                .users
                .job("blue", "group", 2, 2, 8)
                .with("samePlace", true)
                .dependingOn(secondStage.get(0), secondStage.get(1));
        lastStage = simulation
                .users
                .job("blue", "batch", 2, 1, 4)
                .with("urgency", "urgent")
                .dependingOn(thirdStage);
        jobs.add(firstStage);
        jobs.addAll(secondStage);
        jobs.add(thirdStage);
        jobs.add(lastStage);
    }

    /** Submits all jobs in order, each as soon as the previous one is accepted. */
    DependencyChain submit() {
        submitFrom(0);
        return this;
    }

    private void submitFrom(int index) {
        if (index == jobs.size()) {
            return;
        }
        simulation.users.submit(jobs.get(index));
        whenAccepted(jobs.get(index), () -> submitFrom(index + 1));
    }

    private void whenAccepted(SimulatedJob job, Runnable action) {
        if (job.accepted()) {
            action.run();
        } else {
            simulation.at(50, () -> whenAccepted(job, action));
        }
    }

    /**
     * Submits three chains, injects a fault at 40 s while the second chain is running, and leaves time to recover.
     * Every job must reach a terminal state and no invariant may be violated.
     */
    static void runThreeChains(int seed, double seconds, Consumer<List<DependencyChain>> fault) {
        Simulation simulation = new Simulation(seed);
        List<DependencyChain> chains = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            simulation.at(5_000 + i * 6_000L, () -> chains.add(new DependencyChain(simulation).submit()));
        }
        simulation.run(40);
        fault.accept(chains);
        simulation.at((long) (1_000 * (seconds - Workloads.RECOVERY_S)), simulation.invariants::faultsEnded);
        simulation.run(seconds);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (DependencyChain chain : chains) {
            for (SimulatedJob job : chain.jobs) {
                assertTrue(
                        List.of("done", "aborted").contains(job.status()),
                        "seed " + seed + ": " + job.jobId() + " is " + job.status());
            }
        }
    }

    /** Asserts in 60 s of simulated time that every accepted job of the chain is done or cancelled. */
    static void expectAllCancelledOrDone(DependencyChain chain) {
        for (SimulatedJob job : chain.jobs) {
            chain.simulation.at(60_000, () -> {
                if (job.accepted() && !job.status().equals("done")) {
                    assertEquals("aborted", job.status(), job.jobId());
                }
            });
        }
    }
}
