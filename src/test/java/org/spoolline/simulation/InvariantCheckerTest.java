package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** Replaces the controllers by faulty schedulers and checks that the invariant checker reports the violations. */
class InvariantCheckerTest {
    /** The scheduler answers every request with 503 after a job was accepted. */
    @Test
    void detectsUnansweredAndUnservedJobs() {
        Simulation simulation = new Simulation(5);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 5).with("lane", "a"));
        simulation.run(5);
        simulation.controllers.replaceWith((request, reply) -> reply.accept(new Http.Response(503, new byte[0], 1)));
        simulation.invariants.faultsEnded();
        simulation.run(260);
        simulation.invariants.checkAtEnd();
        for (String rule : List.of("forgotten", "begun_late", "unserved")) {
            assertViolated(simulation, rule);
        }
        for (String group : List.of("class a", "team blue", "largest of a")) {
            assertTrue(
                    simulation.invariants.violations().stream()
                            .anyMatch(violation -> violation.contains(group + ": 0 of 1")),
                    group);
        }
    }

    /**
     * The scheduler launches the same task on every worker that sends a heartbeat, whatever its zone, and reports the
     * incomplete job as done, then as cancelled.
     */
    @Test
    void detectsDuplicateAttemptsWrongPlacementAndContradictoryStatus() {
        Simulation simulation = new Simulation(5);
        simulation.run(3);
        SimulatedJob job = simulation.users.submit(
                simulation.users.job("blue", "batch", 2, 8, 500).with("yard", "a"));
        simulation.run(5);
        simulation.controllers.replaceWith((request, reply) -> {
            if (request.path().equals("/checkin")) {
                reply.accept(launchFirstTask(Json.read(request.body()), job));
            } else if (request.path().endsWith("/abort")) {
                reply.accept(status(job, "aborted"));
            } else {
                reply.accept(status(job, "done"));
            }
        });
        for (String zone : List.of("a", "a", "b")) {
            String name = "x-" + simulation.random.nextInt(1_000_000);
            simulation.workers().put(name, new FakeWorker(simulation, name, "small", zone, false));
        }
        simulation.run(10);
        simulation.users.cancel(job);
        simulation.run(90);
        for (String rule : List.of("ran_twice", "wrong_place", "not_done", "went_back", "ran_cancelled")) {
            assertViolated(simulation, rule);
        }
    }

    private static Http.Response launchFirstTask(JsonNode heartbeat, SimulatedJob job) {
        ObjectNode body = Json.object().put("baton", 1L << 40);
        ArrayNode commands = body.putArray("orders");
        commands.addObject()
                .put("verb", "launch")
                .put("slip", job.jobId() + "/0")
                .put("try", 77);
        return Http.Response.of(200, Json.bytes(body));
    }

    private static Http.Response status(SimulatedJob job, String status) {
        return Http.Response.of(
                200, Json.bytes(Json.object().put("uid", job.jobId()).put("status", status)));
    }

    private static void addMachines(Simulation simulation, int count) {
        for (int i = 0; i < count; i++) {
            String name = "x-" + i;
            simulation.workers().put(name, new FakeWorker(simulation, name, "small", "a", false));
        }
    }

    private static void assertViolated(Simulation simulation, String rule) {
        assertTrue(
                simulation.invariants.violations().stream().anyMatch(violation -> violation.startsWith(rule)),
                rule + " in " + simulation.invariants.violations());
    }

    @Test
    void detectsMajorityOfUnansweredPolls() {
        Simulation simulation = new Simulation(5);
        int[] polls = new int[1];
        simulation.controllers.replaceWith((request, reply) -> reply.accept(
                request.path().equals("/submissions")
                        ? Http.Response.of(201, Json.bytes(Json.object().put("status", "pending")))
                        : Http.Response.of(
                                polls[0]++ % 3 == 0 ? 200 : 503,
                                Json.bytes(Json.object().put("status", "pending")))));
        simulation.users.submit(simulation.users.job("red", "batch", 3, 2, 5));
        simulation.run(100);
        simulation.invariants.checkAtEnd();
        assertViolated(simulation, "mostly_unanswered");
    }

    /**
     * The scheduler accepts every submission, including an invalid one, and launches nothing although a worker with
     * free cores sends heartbeats.
     */
    @Test
    void detectsJobWaitingDespiteCapacityAndAcceptedInvalidJob() {
        Simulation simulation = new Simulation(5);
        simulation.controllers.replaceWith((request, reply) -> reply.accept(
                request.path().equals("/checkin")
                        ? Http.Response.of(200, Json.bytes(Json.object().put("baton", 1)))
                        : Http.Response.of(200, Json.bytes(Json.object().put("status", "pending")))));
        addMachines(simulation, 1);
        SimulatedJob waiting = simulation.users.submit(simulation.users.job("red", "batch", 3, 2, 5));
        SimulatedJob tooLarge = simulation.users.submit(
                simulation.users.job("red", "group", 3, 4, 5).markInvalid());
        simulation.run(3);
        simulation.invariants.faultsEnded();
        simulation.run(100);
        assertViolated(simulation, "left_waiting");
        assertViolated(simulation, "accepted_odd");
        assertTrue(simulation.invariants.violations().stream()
                .anyMatch(violation -> violation.startsWith("left_waiting") && violation.contains(waiting.jobId())));
        assertTrue(
                simulation.invariants.violations().stream()
                        .noneMatch(violation ->
                                violation.startsWith("left_waiting") && violation.contains(tooLarge.jobId())),
                "a gang of 12 cores does not fit a machine of 8 cores");
    }

    @Test
    void detectsLaunchAfterCancellationQuotaExcessAndUnknownJob() {
        Simulation simulation = launchAfterCancellation(12_000);
        assertViolated(simulation, "started_cancelled");
        assertViolated(simulation, "quota");
        assertViolated(simulation, "invented");
    }

    /** A launch that is ordered within the time of a leadership lease after the confirmation is a violation too. */
    @Test
    void detectsLaunchOrderedSoonAfterCancellation() {
        assertViolated(launchAfterCancellation(100), "started_cancelled");
    }

    /** A scheduler that launches a job's tasks only from the given time in ms after the job's cancellation on. */
    private static Simulation launchAfterCancellation(long delayMs) {
        Simulation simulation = new Simulation(5);
        boolean[] launching = new boolean[1];
        SimulatedJob job = simulation.users.job("red", "batch", 5, 8, 500);
        simulation.controllers.replaceWith((request, reply) -> {
            if (!request.path().equals("/checkin")) {
                reply.accept(status(job, request.path().endsWith("/abort") ? "aborted" : "pending"));
                return;
            }
            JsonNode heartbeat = Json.read(request.body());
            String index = heartbeat.path("spooler").asText().substring(2);
            ObjectNode body = Json.object().put("baton", 1);
            ArrayNode commands = body.putArray("orders");
            if (launching[0]) {
                commands.addObject()
                        .put("verb", "launch")
                        .put("slip", job.jobId() + "/" + index)
                        .put("try", 1);
            }
            reply.accept(Http.Response.of(200, Json.bytes(body)));
        });
        addMachines(simulation, 5);
        simulation.users.submit(job);
        simulation.run(3);
        simulation.users.cancel(job);
        simulation.at(delayMs, () -> launching[0] = true);
        simulation.users.pollUnknownJob(status -> assertEquals(200, status));
        simulation.run(30);
        return simulation;
    }

    /**
     * The dependency is added to the dependent job only after its submission, so the controllers start the dependent
     * before its dependency is done. After the dependency is cancelled, the scheduler still reports its dependent as
     * pending.
     */
    @Test
    void detectsStartBeforeDependencyAndDependentOfCancelledJob() {
        Simulation simulation = new Simulation(1);
        simulation.run(3);
        SimulatedJob root = simulation.users.submit(simulation.users.job("blue", "batch", 1, 1, 100));
        simulation.run(20);
        SimulatedJob dependent = simulation.users.job("blue", "batch", 1, 1, 5);
        simulation.users.submit(dependent);
        dependent.dependingOn(root);
        simulation.run(20);
        assertTrue(
                simulation.invariants.violations().stream().anyMatch(violation -> violation.startsWith("too_early")),
                simulation.invariants.violations()::toString);
        simulation.users.cancel(root);
        simulation.run(5);
        simulation.controllers.replaceWith((request, reply) ->
                reply.accept(Http.Response.of(200, Json.bytes(Json.object().put("status", "pending")))));
        simulation.run(60);
        assertTrue(
                simulation.invariants.violations().stream().anyMatch(violation -> violation.startsWith("orphaned")),
                simulation.invariants.violations()::toString);
    }
}
