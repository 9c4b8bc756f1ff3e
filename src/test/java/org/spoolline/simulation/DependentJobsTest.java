package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** Jobs that depend on other jobs: execution order, cancellation and validation of submissions. */
class DependentJobsTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void stagesCompleteInOrder(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(5);
        DependencyChain chain = new DependencyChain(simulation).submit();
        simulation.run(20);
        assertEquals("pending", chain.lastStage.status());
        simulation.run(200);
        Workloads.assertEveryJobDone(simulation, seed);
    }

    /**
     * Guards against dependent jobs that are accepted with so long a description that their value has no space for
     * attempts once they are eligible. Descriptions of all lengths are either rejected, or their jobs run.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void longDescriptionsAreRejectedOrRun(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.controllers.announceLimits(2_048, 4, 42);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 1, 1, 10));
        simulation.run(3);
        List<SimulatedJob> dependents = new ArrayList<>();
        for (int length = 900 + seed; length <= 1_600; length += 20) {
            dependents.add(simulation.users.submit(simulation
                    .users
                    .job("blue", "batch", 1 + length % 3, 1, 3)
                    .with("builds", List.of("small", "x".repeat(length)))
                    .dependingOn(root)));
            simulation.run(0.3);
        }
        simulation.store.lowerLimits(2_048, 4);
        simulation.run(200);
        assertTrue(dependents.get(0).accepted(), "seed " + seed);
        assertTrue(dependents.get(dependents.size() - 1).rejected(), "seed " + seed);
        for (SimulatedJob job : dependents) {
            assertTrue(
                    job.rejected() || job.status().equals("done"),
                    "seed " + seed + ": " + job.jobId() + " is " + job.status());
        }
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    @Test
    void cancelledRootCancelsWideFanOut() {
        Simulation simulation = new Simulation(5, 1, 400);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 200));
        simulation.run(2);
        List<SimulatedJob> dependents = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            dependents.add(simulation.users.submit(simulation
                    .users
                    .job("blue", "batch", 1, 1, 5)
                    .dependingOn(i % 3 == 2 ? dependents.get(i - 1) : root)));
            simulation.run(0.2);
        }
        simulation.run(20);
        simulation.users.cancel(root);
        simulation.run(46);
        for (SimulatedJob job : dependents) {
            assertTrue(job.accepted(), job.jobId());
            assertEquals("aborted", job.status(), job.jobId());
        }
        assertEquals(List.of(), simulation.invariants.violations());
    }

    @Test
    void jobWithCancelledDependencyIsAcceptedAndCancelled() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 60));
        simulation.run(3);
        simulation.users.cancel(root);
        simulation.run(60);
        SimulatedJob dependent = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).dependingOn(root));
        simulation.run(10);
        assertTrue(dependent.accepted());
        assertEquals("aborted", dependent.status());
        SimulatedJob secondDependent = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).dependingOn(dependent));
        simulation.run(10);
        assertEquals("aborted", secondDependent.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    @Test
    void jobWithCompletedDependenciesStartsAtOnce() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 5));
        simulation.run(40);
        assertEquals("done", root.status());
        SimulatedJob dependent = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).dependingOn(root, root));
        simulation.run(30);
        assertEquals("done", dependent.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    @Test
    void invalidDependenciesAreRejected() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedJob neverSubmitted = simulation.users.job("blue", "batch", 1, 1, 5);
        SimulatedJob dependsOnUnknown = simulation.users.submit(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .dependingOn(neverSubmitted)
                .markInvalid());
        SimulatedJob dependsOnItself =
                simulation.users.job("blue", "batch", 1, 1, 5).markInvalid();
        simulation.users.submit(dependsOnItself.dependingOn(dependsOnItself));
        SimulatedJob dependenciesNotAList = simulation.users.submit(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", "run-1")
                .markInvalid());
        SimulatedJob malformedJobId = simulation.users.submit(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", List.of("job-1"))
                .markInvalid());
        SimulatedJob emptyDependencies = simulation.users.submit(
                simulation.users.job("blue", "batch", 1, 1, 5).with("waitsOn", List.of()));
        simulation.run(5);
        for (SimulatedJob job : List.of(dependsOnUnknown, dependsOnItself, dependenciesNotAList, malformedJobId)) {
            assertTrue(job.rejected(), job.jobId());
        }
        assertTrue(emptyDependencies.accepted());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    @Test
    void resubmissionWithOtherDependenciesIsIdempotent() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 5));
        simulation.run(3);
        SimulatedJob job = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 20).dependingOn(root));
        simulation.run(3);
        SimulatedJob neverSubmitted = simulation.users.job("blue", "batch", 1, 1, 5);
        simulation.users.submit(job.dependingOn(neverSubmitted));
        simulation.run(3);
        assertFalse(job.rejected());
        assertEquals(List.of(), simulation.invariants.violations());
    }

    /**
     * A submission with 60 dependencies is accepted. One with 4,000 exceeds the bound on its size and is rejected with
     * 400 and the bound in the response.
     */
    @Test
    void tooManyDependenciesAreRejectedWithTheBound() {
        Simulation simulation = new Simulation(3, 1, 1_000);
        simulation.controllers.announceLimits(2_048, 4, 28);
        simulation.run(3);
        List<SimulatedJob> roots = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            roots.add(simulation.users.submit(simulation.users.job("blue", "batch", 1, 0.1, 5)));
            simulation.run(0.2);
        }
        SimulatedJob jobWithinBound = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).dependingOn(roots.toArray(SimulatedJob[]::new)));
        List<String> tooManyJobIds = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            tooManyJobIds.add(roots.get(i % 60).jobId() + i);
        }
        List<String> responses = new ArrayList<>();
        byte[] body = Json.bytes(simulation
                .users
                .job("red", "batch", 1, 1, 5)
                .with("waitsOn", tooManyJobIds)
                .body());
        simulation.network.call(
                "users",
                "node-0:1",
                new Http.Request("POST", "/submissions", "", body),
                2_000,
                reply -> responses.add(
                        reply.status() + " " + new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8)));
        simulation.run(1);
        assertEquals(1, responses.size());
        assertTrue(responses.get(0).startsWith("400") && responses.get(0).contains("1740 bytes"), responses.get(0));
        simulation.run(120);
        assertEquals("done", jobWithinBound.status());
        assertEquals(List.of(), simulation.invariants.violations());
    }
}
