package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.world.Days.SEEDS;
import static org.spoolline.world.Days.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.upgrade.ProductionForms;

/** Jobs that wait for others, under an independent check of the rules. */
class DependentJobsTest {
    private static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    /** Four stages, the second of two jobs: each job is submitted once those that it needs are accepted. */
    private static final class Line {
        final World world;
        final Users.Job check;
        final List<Users.Job> resize = new ArrayList<>();
        final Users.Job merge;
        final Users.Job deliver;
        final List<Users.Job> all = new ArrayList<>();

        Line(World world) {
            this.world = world;
            check = world.users.job("blue", "batch", 3, 1, 8);
            resize.add(world.users.job("blue", "batch", 6, 2, 10).after(check));
            resize.add(world.users.job("red", "batch", 2, 2, 12).after(check));
            merge = world.users
                    .job("blue", "group", 2, 2, 8)
                    .with("samePlace", true)
                    .after(resize.get(0), resize.get(1));
            deliver = world.users
                    .job("blue", "batch", 2, 1, 4)
                    .with("urgency", "urgent")
                    .after(merge);
            all.add(check);
            all.addAll(resize);
            all.add(merge);
            all.add(deliver);
        }

        /** Submits the job and then those after it, each as soon as those before it are accepted. */
        Line submit() {
            submitFrom(0);
            return this;
        }

        private void submitFrom(int index) {
            if (index == all.size()) {
                return;
            }
            world.users.submit(all.get(index));
            whenAccepted(all.get(index), () -> submitFrom(index + 1));
        }

        private void whenAccepted(Users.Job job, Runnable then) {
            if (job.accepted()) {
                then.run();
            } else {
                world.at(50, () -> whenAccepted(job, then));
            }
        }
    }

    /** Three lines, trouble when the second begins, and time to recover: every job ends and no rule is broken. */
    private static void lines(double seconds, Consumer<List<Line>> trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            List<Line> lines = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                world.at(5_000 + i * 6_000L, () -> lines.add(new Line(world).submit()));
            }
            world.run(40);
            trouble.accept(lines);
            world.at((long) (1_000 * (seconds - Days.CALM_S)), world.rules::troublesAreOver);
            world.run(seconds);
            world.rules.dayIsOver();
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Line line : lines) {
                for (Users.Job job : line.all) {
                    assertTrue(
                            List.of("done", "aborted").contains(job.status()),
                            "seed " + seed + ": " + job.uid() + " is " + job.status());
                }
            }
        }
    }

    private static void allAborted(Line line) {
        for (Users.Job job : line.all) {
            line.world.at(60_000, () -> {
                if (job.accepted() && !job.status().equals("done")) {
                    assertEquals("aborted", job.status(), job.uid());
                }
            });
        }
    }

    @Test
    void aLineIsDoneStageAfterStage() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            world.run(5);
            Line line = new Line(world).submit();
            world.run(20);
            assertEquals("pending", line.deliver.status());
            world.run(200);
            Days.everyJobIsDone(world, seed);
        }
    }

    @Test
    void theRootIsCancelledAndAllAfterItWithIt() {
        lines(320, lines -> {
            lines.get(1).world.users.cancel(lines.get(1).check);
            allAborted(lines.get(1));
        });
    }

    @Test
    void aStageInTheMiddleIsCancelled() {
        lines(320, lines -> {
            lines.get(2).world.users.cancel(lines.get(2).resize.get(1));
            allAborted(lines.get(2));
        });
    }

    @Test
    void aDependentIsCancelledAndItsPrerequisitesGoOn() {
        lines(320, lines -> {
            Line line = lines.get(2);
            line.world.users.cancel(line.merge);
            line.world.at(150_000, () -> {
                assertEquals("done", line.check.status());
                assertEquals("aborted", line.deliver.status());
            });
        });
    }

    @Test
    void cancellationsMeetTheEndsOfPrerequisites() {
        lines(320, lines -> lines.get(0).world.users.cancelAtEnd(0.5, 60));
    }

    @Test
    void theLeaderEndsWhileStagesEnd() {
        lines(420, lines -> {
            World world = lines.get(0).world;
            for (int i = 0; i < 6; i++) {
                world.at(i * 9_000L, () -> world.crashFor(leader(world), 4));
            }
        });
    }

    @Test
    void theRootIsCancelledDuringAnElection() {
        lines(420, lines -> {
            World world = lines.get(0).world;
            world.crashFor(leader(world), 8);
            world.at(300, () -> world.users.cancel(lines.get(1).check));
            world.at(2_000, () -> world.users.cancel(lines.get(2).resize.get(0)));
            allAborted(lines.get(2));
        });
    }

    /** Nobody may be told that a job waits, once the outage is over, when one before it has long been cancelled. */
    @Test
    void theRootIsCancelledJustBeforeAnOutageLongerThanCancelS() {
        lines(500, lines -> {
            World world = lines.get(0).world;
            world.users.cancel(lines.get(1).check);
            world.users.cancel(lines.get(2).resize.get(0));
            world.at(60, () -> world.state.outage(80));
        });
    }

    @Test
    void aCancellationIsConfirmedWhileTheLeaderAloneIsRefusedAndAllAreRefusedThen() {
        lines(500, lines -> {
            World world = lines.get(0).world;
            world.state.refuse(leader(world), 14);
            world.at(300, () -> world.users.cancel(lines.get(1).check));
            world.at(500, () -> world.users.cancel(lines.get(2).merge));
            world.at(2_000, () -> world.state.outage(70));
        });
    }

    @Test
    void aControllerIsCutOffFromTheStateServiceWhileStagesEndAndOneIsCancelled() {
        lines(420, lines -> {
            World world = lines.get(0).world;
            String leader = leader(world);
            world.cut(leader, "state", World.Cut.HOLD);
            world.at(1_000, () -> world.users.cancel(lines.get(2).resize.get(0)));
            world.at(30_000, () -> world.cut(leader, "state", World.Cut.NONE));
        });
    }

    @Test
    void answersAreLostAndTransactionsComeLateWhileStagesEnd() {
        lines(420, lines -> {
            World world = lines.get(0).world;
            world.state.lateWrites(0.25, 60);
            world.at(10_000, () -> world.state.answersToLose = 5);
            world.at(5_000, () -> world.users.cancel(lines.get(1).merge));
            world.at(20_000, () -> world.crashFor(leader(world), 3));
        });
    }

    @Test
    void theLimitsAreLoweredInTheMiddleOfAllThis() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 8);
            world.announceLimits(2_048, 4, 28);
            world.run(3);
            Users.Job wide = world.users.submit(world.users.job("blue", "batch", 900, 0.5, 40));
            List<Line> lines = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                world.at(5_000 + i * 6_000L, () -> lines.add(new Line(world).submit()));
            }
            world.run(25);
            world.state.lowerLimits(2_048, 4);
            world.at(5_000, () -> world.users.cancel(lines.get(0).merge));
            world.at(12_000, () -> world.crashFor(leader(world), 4));
            world.at(60_000, world.rules::troublesAreOver);
            world.run(420);
            world.rules.dayIsOver();
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            assertEquals("done", wide.status(), "seed " + seed);
            assertEquals("aborted", lines.get(0).deliver.status(), "seed " + seed);
            assertEquals("done", lines.get(2).deliver.status(), "seed " + seed);
            // Each of the controllers may find out once, and a batch under way then fails with it.
            assertTrue(world.state.overLimit <= 12, "seed " + seed + ": " + world.state.overLimit + " refused");
        }
    }

    /** A day that begins with a value of production's that is twice as large as the limits of after the upgrade. */
    private static Users.Job tooLarge(World world) {
        for (int i = 0; i < 6; i++) {
            world.users.job("blue", "batch", 1, 1, 5);
        }
        Users.Job wide = world.users.job("blue", "batch", 1_800, 0.5, 30);
        for (int task = 0; task < 1_500; task += 7) {
            world.rules.completedBefore(wide.uid(), task);
        }
        world.cloud.capacity = 40;
        world.state.put("job/" + wide.uid(), Json.read(ProductionForms.bytes("wide.json")));
        world.announceLimits(2_048, 4, 28);
        world.state.lowerLimits(2_048, 4);
        world.run(2);
        world.users.submit(wide);
        world.run(3);
        assertTrue(wide.accepted());
        return wide;
    }

    @Test
    void aValueLargerThanTheLoweredLimitsIsWrittenOnceItFits() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 16);
            Users.Job wide = tooLarge(world);
            Users.Job other = world.users.submit(world.users.job("red", "batch", 4, 1, 5));
            world.run(40);
            assertEquals("done", other.status(), "seed " + seed);
            world.run(300);
            assertEquals("done", wide.status(), "seed " + seed);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            assertTrue(world.state.overLimit <= 4, "seed " + seed + ": " + world.state.overLimit + " refused");
        }
    }

    /** Placements that fill the present limit would be values that nobody can write any more. */
    @Test
    void placementsLeaveRoomUnderTheAnnouncedLimits() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 16);
            world.cloud.capacity = 40;
            world.announceLimits(900, 4, 28);
            world.run(3);
            Users.Job wide = world.users.submit(
                    world.users.job("blue", "batch", 1_500, 0.5, 30).endingApart(10));
            world.run(30);
            int bytes = Json.bytes(world.state.value("job/" + wide.uid())).length;
            assertTrue(bytes > 500 && bytes <= 900, "seed " + seed + ": " + bytes + " bytes");
            world.state.lowerLimits(900, 4);
            world.run(400);
            assertEquals("done", wide.status(), "seed " + seed);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
        }
    }

    @Test
    void aValueLargerThanTheLoweredLimitsIsCancelled() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 16);
            Users.Job wide = tooLarge(world);
            world.users.cancel(wide);
            world.run(8);
            assertEquals("aborted", wide.status(), "seed " + seed);
            assertEquals(
                    1_285,
                    world.state.value("job/" + wide.uid()).path("unlisted").asInt());
            // Until its attempts are gone they count against the team's limit of 1,024 cores.
            Users.Job next = world.users.submit(world.users.job("blue", "batch", 1_600, 0.5, 200));
            world.run(20);
            int placed = Pipeline.decode(world.state.value("job/" + next.uid()))
                    .attempts()
                    .size();
            assertTrue(placed > 0 && placed <= 2_048 - 1_285, "seed " + seed + ": " + placed + " placed");
            world.run(60);
            assertEquals(
                    "aborted",
                    world.state.value("final/" + wide.uid()).path("end").asText());
            assertEquals("aborted", wide.status(), "seed " + seed);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
        }
    }

    /** A leader that can't read the jobs writes nothing: each node still tells of the cancelled job before a waiting one. */
    @Test
    void dependentsAreCancelledAlsoWhileNoLeaderCanReadTheJobs() {
        lines(500, lines -> {
            World world = lines.get(0).world;
            world.state.refuseListings(90);
            NODES.forEach(node -> world.crashFor(node, 0.3));
            world.at(8_000, () -> world.users.cancel(lines.get(1).check));
            world.at(8_500, () -> world.users.cancel(lines.get(2).resize.get(0)));
            for (Users.Job job : List.of(lines.get(2).merge, lines.get(2).deliver)) {
                world.at(70_000, () -> assertEquals("aborted", job.status(), job.uid()));
            }
        });
    }

    @Test
    void aWideFanIsCancelledWithItsRoot() {
        World world = new World(5, 1, 400);
        world.run(3);
        Users.Job root = world.users.submit(world.users.job("blue", "batch", 2, 1, 200));
        world.run(2);
        List<Users.Job> fan = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            fan.add(world.users.submit(
                    world.users.job("blue", "batch", 1, 1, 5).after(i % 3 == 2 ? fan.get(i - 1) : root)));
            world.run(0.2);
        }
        world.run(20);
        world.users.cancel(root);
        world.run(46);
        for (Users.Job job : fan) {
            assertTrue(job.accepted(), job.uid());
            assertEquals("aborted", job.status(), job.uid());
        }
        assertEquals(List.of(), world.rules.broken());
    }

    @Test
    void aJobThatNamesACancelledOneIsAcceptedAndCancelled() {
        World world = new World(3);
        world.run(3);
        Users.Job root = world.users.submit(world.users.job("blue", "batch", 2, 1, 60));
        world.run(3);
        world.users.cancel(root);
        world.run(60);
        Users.Job late =
                world.users.submit(world.users.job("red", "batch", 1, 1, 5).after(root));
        world.run(10);
        assertTrue(late.accepted());
        assertEquals("aborted", late.status());
        Users.Job later =
                world.users.submit(world.users.job("red", "batch", 1, 1, 5).after(late));
        world.run(10);
        assertEquals("aborted", later.status());
        assertEquals(List.of(), world.rules.broken());
    }

    @Test
    void aJobThatNamesFinishedOnesStartsAtOnce() {
        World world = new World(3);
        world.run(3);
        Users.Job root = world.users.submit(world.users.job("blue", "batch", 2, 1, 5));
        world.run(40);
        assertEquals("done", root.status());
        Users.Job late =
                world.users.submit(world.users.job("red", "batch", 1, 1, 5).after(root, root));
        world.run(30);
        assertEquals("done", late.status());
        assertEquals(List.of(), world.rules.broken());
    }

    @Test
    void namesThatWereNeverAcceptedAreTurnedAway() {
        World world = new World(3);
        world.run(3);
        Users.Job never = world.users.job("blue", "batch", 1, 1, 5);
        Users.Job stranger = world.users.submit(
                world.users.job("blue", "batch", 1, 1, 5).after(never).odd());
        Users.Job itself = world.users.job("blue", "batch", 1, 1, 5).odd();
        world.users.submit(itself.after(itself));
        Users.Job noList = world.users.submit(world.users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", "run-1")
                .odd());
        Users.Job noId = world.users.submit(world.users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", List.of("job-1"))
                .odd());
        Users.Job nothing =
                world.users.submit(world.users.job("blue", "batch", 1, 1, 5).with("waitsOn", List.of()));
        world.run(5);
        for (Users.Job job : List.of(stranger, itself, noList, noId)) {
            assertTrue(job.refused(), job.uid());
        }
        assertTrue(nothing.accepted());
        assertEquals(List.of(), world.rules.broken());
    }

    @Test
    void aRepeatedSubmissionIsKnownWhateverItNames() {
        World world = new World(3);
        world.run(3);
        Users.Job root = world.users.submit(world.users.job("blue", "batch", 2, 1, 5));
        world.run(3);
        Users.Job job =
                world.users.submit(world.users.job("red", "batch", 1, 1, 20).after(root));
        world.run(3);
        Users.Job never = world.users.job("blue", "batch", 1, 1, 5);
        world.users.submit(job.after(never));
        world.run(3);
        assertFalse(job.refused());
        assertEquals(List.of(), world.rules.broken());
    }

    /** Until every controller is known to read it, a value that older versions can't read is not written. */
    @Test
    void jobsWithPrerequisitesAreTakenOnceAllControllersAreUpgraded() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            NODES.forEach(world::startOlder);
            world.run(5);
            for (int n = 0; n < 4; n++) {
                world.users.submit(Days.jobOf(world, n));
            }
            for (int i = 0; i < 3; i++) {
                String node = NODES.get(i);
                world.at(5_000 + i * 10_000L, () -> world.upgrade(node, 4));
            }
            // A process that ends before its turn comes back as it was; one that was upgraded stays so.
            world.at(8_000, () -> world.crashFor(NODES.get(2), 1));
            world.at(20_000, () -> world.crashFor(NODES.get(0), 1));
            world.run(22);
            Users.Job root = world.users.submit(world.users.job("blue", "batch", 2, 1, 10));
            world.run(1);
            Users.Job early =
                    world.users.submit(world.users.job("blue", "batch", 1, 1, 5).after(root));
            world.run(5);
            assertFalse(early.accepted(), "seed " + seed);
            world.run(120);
            assertEquals("done", early.status(), "seed " + seed);
            Days.everyJobIsDone(world, seed);
        }
    }

    /** Both versions serve, troubles come, and leadership passes between them in both directions. */
    @Test
    void aRollIsServedThroughCrashesCutsAndAnOutageAndLinesAreServedAfterIt() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            NODES.forEach(world::startOlder);
            for (int i = 0; i < 12; i++) {
                int n = i;
                world.at(3_000 + i * 5_000L, () -> world.users.submit(Days.jobOf(world, n)));
            }
            world.run(30);
            for (int i = 0; i < 3; i++) {
                String node = NODES.get(i);
                world.at(i * 12_000L, () -> world.upgrade(node, 4));
            }
            world.at(6_000, () -> world.crashFor(leader(world), 0.3));
            world.at(15_000, () -> world.cutOneWay(leader(world), "state", World.Cut.LOSE));
            for (String node : NODES) {
                world.at(27_000, () -> world.cutOneWay(node, "state", World.Cut.NONE));
            }
            world.at(18_000, () -> world.users.jobs().forEach(job -> {
                if (job.accepted() && job.tasks() == 12 && !job.status().equals("done")) {
                    world.users.cancel(job);
                }
            }));
            world.at(28_000, () -> world.state.outage(20));
            world.at(30_000, () -> world.crashFor(leader(world), 2));
            world.run(55);
            List<Line> lines = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                lines.add(new Line(world).submit());
                world.run(12);
            }
            world.crashFor(leader(world), 3);
            world.users.cancel(lines.get(0).check);
            world.at(20_000, world.rules::troublesAreOver);
            world.run(250);
            world.rules.dayIsOver();
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Users.Job job : world.users.jobs()) {
                assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.uid());
            }
            assertEquals("done", lines.get(1).deliver.status(), "seed " + seed);
        }
    }

    /** However many names a body holds, it is taken or turned away at once with the bound. */
    @Test
    void moreNamesThanAValueHoldsAreTurnedAwayWithTheBound() {
        World world = new World(3, 1, 1_000);
        world.announceLimits(2_048, 4, 28);
        world.run(3);
        List<Users.Job> roots = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            roots.add(world.users.submit(world.users.job("blue", "batch", 1, 0.1, 5)));
            world.run(0.2);
        }
        Users.Job fits =
                world.users.submit(world.users.job("red", "batch", 1, 1, 5).after(roots.toArray(Users.Job[]::new)));
        List<String> many = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            many.add(roots.get(i % 60).uid() + i);
        }
        List<String> answers = new ArrayList<>();
        byte[] body = Json.bytes(
                world.users.job("red", "batch", 1, 1, 5).with("waitsOn", many).body());
        world.call(
                "users",
                "node-0:1",
                new Http.Request("POST", "/submissions", "", body),
                2_000,
                reply -> answers.add(
                        reply.status() + " " + new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8)));
        world.run(1);
        assertEquals(1, answers.size());
        assertTrue(answers.get(0).startsWith("400") && answers.get(0).contains("1740 bytes"), answers.get(0));
        world.run(120);
        assertEquals("done", fits.status());
        assertEquals(List.of(), world.rules.broken());
    }

    /** The rules would notice a scheduler that ignores prerequisites. */
    @Test
    void aStartBeforeItsTimeAndAnOrphanAreNoticed() {
        World world = new World(1);
        world.run(3);
        Users.Job root = world.users.submit(world.users.job("blue", "batch", 1, 1, 100));
        world.run(20);
        Users.Job ignored = world.users.job("blue", "batch", 1, 1, 5);
        world.users.submit(ignored);
        ignored.after(root);
        world.run(20);
        assertTrue(
                world.rules.broken().stream().anyMatch(b -> b.startsWith("too_early")), world.rules.broken()::toString);
        world.users.cancel(root);
        world.run(5);
        world.replaceControllers((request, reply) ->
                reply.accept(Http.Response.of(200, Json.bytes(Json.object().put("status", "pending")))));
        world.run(60);
        assertTrue(
                world.rules.broken().stream().anyMatch(b -> b.startsWith("orphaned")), world.rules.broken()::toString);
    }
}
