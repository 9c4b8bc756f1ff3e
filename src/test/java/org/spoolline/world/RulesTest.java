package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** A check that can't fail proves nothing: each rule is shown to be noticed when a scheduler breaks it. */
class RulesTest {
    /** A scheduler that takes jobs and then does nothing. */
    @Test
    void theRulesCatchASchedulerThatServesNobody() {
        World world = new World(5);
        world.run(3);
        world.users.submit(world.users.job("blue", "batch", 2, 1, 5).with("lane", "a"));
        world.run(5);
        world.replaceControllers((request, answer) -> answer.accept(new Http.Response(503, new byte[0], 1)));
        world.rules.troublesAreOver();
        world.run(260);
        world.rules.dayIsOver();
        for (String rule : List.of("forgotten", "begun_late", "unserved")) {
            assertTrue(world.rules.broken().stream().anyMatch(b -> b.startsWith(rule)), rule);
        }
        for (String group : List.of("class a", "team blue", "largest of a")) {
            assertTrue(world.rules.broken().stream().anyMatch(b -> b.contains(group + ": 0 of 1")), group);
        }
    }

    /** A scheduler without any care. */
    @Test
    void theRulesCatchASchedulerThatBreaksThem() {
        World world = new World(5);
        world.run(3);
        Users.Job job =
                world.users.submit(world.users.job("blue", "batch", 2, 8, 500).with("yard", "a"));
        world.run(5);
        world.replaceControllers((request, answer) -> {
            if (request.path().equals("/checkin")) {
                answer.accept(startEverywhere(Json.read(request.body()), job));
            } else if (request.path().endsWith("/abort")) {
                answer.accept(status(job, "aborted"));
            } else {
                answer.accept(status(job, "done"));
            }
        });
        for (String zone : List.of("a", "a", "b")) {
            String name = "x-" + world.random.nextInt(1_000_000);
            world.workers().put(name, new FakeWorker(world, name, "small", zone, false));
        }
        world.run(10);
        world.users.cancel(job);
        world.run(90);
        for (String rule : List.of("ran_twice", "wrong_place", "not_done", "went_back", "ran_cancelled")) {
            assertTrue(world.rules.broken().stream().anyMatch(b -> b.startsWith(rule)), rule);
        }
    }

    private static Http.Response startEverywhere(JsonNode report, Users.Job job) {
        ObjectNode body = Json.object().put("baton", 1L << 40);
        ArrayNode orders = body.putArray("orders");
        orders.addObject().put("verb", "launch").put("slip", job.uid() + "/0").put("try", 77);
        return Http.Response.of(200, Json.bytes(body));
    }

    private static Http.Response status(Users.Job job, String status) {
        return Http.Response.of(
                200, Json.bytes(Json.object().put("uid", job.uid()).put("status", status)));
    }

    private static void machines(World world, int count) {
        for (int i = 0; i < count; i++) {
            String name = "x-" + i;
            world.workers().put(name, new FakeWorker(world, name, "small", "a", false));
        }
    }

    private static void assertBroken(World world, String rule) {
        assertTrue(
                world.rules.broken().stream().anyMatch(b -> b.startsWith(rule)), rule + " in " + world.rules.broken());
    }

    @Test
    void theRulesCatchASchedulerThatLeavesMostQuestionsUnanswered() {
        World world = new World(5);
        int[] asked = new int[1];
        world.replaceControllers((request, answer) -> answer.accept(
                request.path().equals("/submissions")
                        ? Http.Response.of(201, Json.bytes(Json.object().put("status", "pending")))
                        : Http.Response.of(
                                asked[0]++ % 3 == 0 ? 200 : 503,
                                Json.bytes(Json.object().put("status", "pending")))));
        world.users.submit(world.users.job("red", "batch", 3, 2, 5));
        world.run(100);
        world.rules.dayIsOver();
        assertBroken(world, "mostly_unanswered");
    }

    /** Takes everything, and starts nothing although machines report. */
    @Test
    void theRulesCatchASchedulerThatLetsJobsWaitBesideRoomAndTakesWhatCannotRun() {
        World world = new World(5);
        world.replaceControllers((request, answer) -> answer.accept(
                request.path().equals("/checkin")
                        ? Http.Response.of(200, Json.bytes(Json.object().put("baton", 1)))
                        : Http.Response.of(200, Json.bytes(Json.object().put("status", "pending")))));
        machines(world, 1);
        Users.Job waiting = world.users.submit(world.users.job("red", "batch", 3, 2, 5));
        Users.Job tooLarge =
                world.users.submit(world.users.job("red", "group", 3, 4, 5).odd());
        world.run(3);
        world.rules.troublesAreOver();
        world.run(100);
        assertBroken(world, "left_waiting");
        assertBroken(world, "accepted_odd");
        assertTrue(
                world.rules.broken().stream().anyMatch(b -> b.startsWith("left_waiting") && b.contains(waiting.uid())));
        assertTrue(
                world.rules.broken().stream()
                        .noneMatch(b -> b.startsWith("left_waiting") && b.contains(tooLarge.uid())),
                "12 cores don't fit 8");
    }

    @Test
    void theRulesCatchStartsAfterACancellationAndWorkOverALimitAndAnswersAboutNothing() {
        World world = new World(5);
        boolean[] starts = new boolean[1];
        Users.Job job = world.users.job("red", "batch", 5, 8, 500);
        world.replaceControllers((request, answer) -> {
            if (!request.path().equals("/checkin")) {
                answer.accept(status(job, request.path().endsWith("/abort") ? "aborted" : "pending"));
                return;
            }
            JsonNode report = Json.read(request.body());
            String index = report.path("spooler").asText().substring(2);
            ObjectNode body = Json.object().put("baton", 1);
            ArrayNode orders = body.putArray("orders");
            if (starts[0]) {
                orders.addObject()
                        .put("verb", "launch")
                        .put("slip", job.uid() + "/" + index)
                        .put("try", 1);
            }
            answer.accept(Http.Response.of(200, Json.bytes(body)));
        });
        machines(world, 5);
        world.users.submit(job);
        world.run(3);
        world.users.cancel(job);
        world.at(12_000, () -> starts[0] = true);
        world.users.askForNothing(status -> assertEquals(200, status));
        world.run(30);
        assertBroken(world, "started_cancelled");
        assertBroken(world, "quota");
        assertBroken(world, "invented");
    }
}
