package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.upgrade.ProductionForms;

/** Jobs that wait for others, under an independent check of the rules. */
class DependentJobsTest {
    private static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    /** Four stages, the second of two jobs: each job is submitted once those that it needs are accepted. */
    private static final class Line {
        final Simulation simulation;
        final SimulatedUsers.Job check;
        final List<SimulatedUsers.Job> resize = new ArrayList<>();
        final SimulatedUsers.Job merge;
        final SimulatedUsers.Job deliver;
        final List<SimulatedUsers.Job> all = new ArrayList<>();

        Line(Simulation simulation) {
            this.simulation = simulation;
            check = simulation.users.job("blue", "batch", 3, 1, 8);
            resize.add(simulation.users.job("blue", "batch", 6, 2, 10).after(check));
            resize.add(simulation.users.job("red", "batch", 2, 2, 12).after(check));
            merge = simulation
                    .users
                    .job("blue", "group", 2, 2, 8)
                    .with("samePlace", true)
                    .after(resize.get(0), resize.get(1));
            deliver = simulation
                    .users
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
            simulation.users.submit(all.get(index));
            whenAccepted(all.get(index), () -> submitFrom(index + 1));
        }

        private void whenAccepted(SimulatedUsers.Job job, Runnable then) {
            if (job.accepted()) {
                then.run();
            } else {
                simulation.at(50, () -> whenAccepted(job, then));
            }
        }
    }

    /** Three lines, trouble when the second begins, and time to recover: every job ends and no rule is broken. */
    private static void lines(int seed, double seconds, Consumer<List<Line>> trouble) {
        Simulation simulation = new Simulation(seed);
        List<Line> lines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            simulation.at(5_000 + i * 6_000L, () -> lines.add(new Line(simulation).submit()));
        }
        simulation.run(40);
        trouble.accept(lines);
        simulation.at((long) (1_000 * (seconds - Workloads.CALM_S)), simulation.invariants::troublesAreOver);
        simulation.run(seconds);
        simulation.invariants.dayIsOver();
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (Line line : lines) {
            for (SimulatedUsers.Job job : line.all) {
                assertTrue(
                        List.of("done", "aborted").contains(job.status()),
                        "seed " + seed + ": " + job.jobId() + " is " + job.status());
            }
        }
    }

    private static void allAborted(Line line) {
        for (SimulatedUsers.Job job : line.all) {
            line.simulation.at(60_000, () -> {
                if (job.accepted() && !job.status().equals("done")) {
                    assertEquals("aborted", job.status(), job.jobId());
                }
            });
        }
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aLineIsDoneStageAfterStage(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(5);
        Line line = new Line(simulation).submit();
        simulation.run(20);
        assertEquals("pending", line.deliver.status());
        simulation.run(200);
        Workloads.everyJobIsDone(simulation, seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theRootIsCancelledAndAllAfterItWithIt(int seed) {
        lines(seed, 320, lines -> {
            lines.get(1).simulation.users.cancel(lines.get(1).check);
            allAborted(lines.get(1));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aStageInTheMiddleIsCancelled(int seed) {
        lines(seed, 320, lines -> {
            lines.get(2).simulation.users.cancel(lines.get(2).resize.get(1));
            allAborted(lines.get(2));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aDependentIsCancelledAndItsPrerequisitesGoOn(int seed) {
        lines(seed, 320, lines -> {
            Line line = lines.get(2);
            line.simulation.users.cancel(line.merge);
            line.simulation.at(150_000, () -> {
                assertEquals("done", line.check.status());
                assertEquals("aborted", line.deliver.status());
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancellationsMeetTheEndsOfPrerequisites(int seed) {
        lines(seed, 320, lines -> lines.get(0).simulation.users.cancelAtEnd(0.5, 60));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theLeaderEndsWhileStagesEnd(int seed) {
        lines(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            for (int i = 0; i < 6; i++) {
                simulation.at(i * 9_000L, () -> simulation.crashFor(leader(simulation), 4));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theRootIsCancelledDuringAnElection(int seed) {
        lines(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.crashFor(leader(simulation), 8);
            simulation.at(300, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(
                    2_000, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            allAborted(lines.get(2));
        });
    }

    /** Nobody may be told that a job waits, once the outage is over, when one before it has long been cancelled. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theRootIsCancelledJustBeforeAnOutageLongerThanCancelS(int seed) {
        lines(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.users.cancel(lines.get(1).check);
            simulation.users.cancel(lines.get(2).resize.get(0));
            simulation.at(60, () -> simulation.store.outage(80));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aCancellationIsConfirmedWhileTheLeaderAloneIsRefusedAndAllAreRefusedThen(int seed) {
        lines(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.refuse(leader(simulation), 14);
            simulation.at(300, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(500, () -> simulation.users.cancel(lines.get(2).merge));
            simulation.at(2_000, () -> simulation.store.outage(70));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aControllerIsCutOffFromTheStateServiceWhileStagesEndAndOneIsCancelled(int seed) {
        lines(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            String leader = leader(simulation);
            simulation.cut(leader, "state", Simulation.Cut.HOLD);
            simulation.at(
                    1_000, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            simulation.at(30_000, () -> simulation.cut(leader, "state", Simulation.Cut.NONE));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void answersAreLostAndTransactionsComeLateWhileStagesEnd(int seed) {
        lines(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.lateWrites(0.25, 60);
            simulation.at(10_000, () -> simulation.store.answersToLose = 5);
            simulation.at(5_000, () -> simulation.users.cancel(lines.get(1).merge));
            simulation.at(20_000, () -> simulation.crashFor(leader(simulation), 3));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theLimitsAreLoweredInTheMiddleOfAllThis(int seed) {
        Simulation simulation = new Simulation(seed, 8);
        simulation.announceLimits(2_048, 4, 28);
        simulation.run(3);
        SimulatedUsers.Job wide = simulation.users.submit(simulation.users.job("blue", "batch", 900, 0.5, 40));
        List<Line> lines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            simulation.at(5_000 + i * 6_000L, () -> lines.add(new Line(simulation).submit()));
        }
        simulation.run(25);
        simulation.store.lowerLimits(2_048, 4);
        simulation.at(5_000, () -> simulation.users.cancel(lines.get(0).merge));
        simulation.at(12_000, () -> simulation.crashFor(leader(simulation), 4));
        simulation.at(60_000, simulation.invariants::troublesAreOver);
        simulation.run(420);
        simulation.invariants.dayIsOver();
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals("aborted", lines.get(0).deliver.status(), "seed " + seed);
        assertEquals("done", lines.get(2).deliver.status(), "seed " + seed);
        // Each of the controllers may find out once, and a batch under way then fails with it.
        assertTrue(simulation.store.overLimit <= 12, "seed " + seed + ": " + simulation.store.overLimit + " refused");
    }

    /** A day that begins with a value of production's that is twice as large as the limits of after the upgrade. */
    private static SimulatedUsers.Job tooLarge(Simulation simulation) {
        for (int i = 0; i < 6; i++) {
            simulation.users.job("blue", "batch", 1, 1, 5);
        }
        SimulatedUsers.Job wide = simulation.users.job("blue", "batch", 1_800, 0.5, 30);
        for (int task = 0; task < 1_500; task += 7) {
            simulation.invariants.completedBefore(wide.jobId(), task);
        }
        simulation.cloud.capacity = 40;
        simulation.store.put("job/" + wide.jobId(), Json.read(ProductionForms.bytes("wide.json")));
        simulation.announceLimits(2_048, 4, 28);
        simulation.store.lowerLimits(2_048, 4);
        simulation.run(2);
        simulation.users.submit(wide);
        simulation.run(3);
        assertTrue(wide.accepted());
        return wide;
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aValueLargerThanTheLoweredLimitsIsWrittenOnceItFits(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        SimulatedUsers.Job wide = tooLarge(simulation);
        SimulatedUsers.Job other = simulation.users.submit(simulation.users.job("red", "batch", 4, 1, 5));
        simulation.run(40);
        assertEquals("done", other.status(), "seed " + seed);
        simulation.run(300);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        assertTrue(simulation.store.overLimit <= 4, "seed " + seed + ": " + simulation.store.overLimit + " refused");
    }

    /** Placements that fill the present limit would be values that nobody can write any more. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void placementsLeaveRoomUnderTheAnnouncedLimits(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        simulation.cloud.capacity = 40;
        simulation.announceLimits(900, 4, 28);
        simulation.run(3);
        SimulatedUsers.Job wide = simulation.users.submit(
                simulation.users.job("blue", "batch", 1_500, 0.5, 30).endingApart(10));
        simulation.run(30);
        int bytes = Json.bytes(simulation.store.value("job/" + wide.jobId())).length;
        assertTrue(bytes > 500 && bytes <= 900, "seed " + seed + ": " + bytes + " bytes");
        simulation.store.lowerLimits(900, 4);
        simulation.run(400);
        assertEquals("done", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aValueLargerThanTheLoweredLimitsIsCancelled(int seed) {
        Simulation simulation = new Simulation(seed, 16);
        SimulatedUsers.Job wide = tooLarge(simulation);
        simulation.users.cancel(wide);
        simulation.run(8);
        assertEquals("aborted", wide.status(), "seed " + seed);
        assertEquals(
                1_285,
                simulation.store.value("job/" + wide.jobId()).path("unlisted").asInt());
        // Until its attempts are gone they count against the team's limit of 1,024 cores.
        SimulatedUsers.Job next = simulation.users.submit(simulation.users.job("blue", "batch", 1_600, 0.5, 200));
        simulation.run(20);
        int placed = Pipeline.decode(simulation.store.value("job/" + next.jobId()))
                .attempts()
                .size();
        assertTrue(placed > 0 && placed <= 2_048 - 1_285, "seed " + seed + ": " + placed + " placed");
        simulation.run(60);
        assertEquals(
                "aborted",
                simulation.store.value("final/" + wide.jobId()).path("end").asText());
        assertEquals("aborted", wide.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
    }

    /** A leader that can't read the jobs writes nothing: each node still tells of the cancelled job before a waiting one. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void dependentsAreCancelledAlsoWhileNoLeaderCanReadTheJobs(int seed) {
        lines(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.refuseListings(90);
            NODES.forEach(node -> simulation.crashFor(node, 0.3));
            simulation.at(8_000, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(
                    8_500, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            for (SimulatedUsers.Job job : List.of(lines.get(2).merge, lines.get(2).deliver)) {
                simulation.at(70_000, () -> assertEquals("aborted", job.status(), job.jobId()));
            }
        });
    }

    @Test
    void aWideFanIsCancelledWithItsRoot() {
        Simulation simulation = new Simulation(5, 1, 400);
        simulation.run(3);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 200));
        simulation.run(2);
        List<SimulatedUsers.Job> fan = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            fan.add(simulation.users.submit(
                    simulation.users.job("blue", "batch", 1, 1, 5).after(i % 3 == 2 ? fan.get(i - 1) : root)));
            simulation.run(0.2);
        }
        simulation.run(20);
        simulation.users.cancel(root);
        simulation.run(46);
        for (SimulatedUsers.Job job : fan) {
            assertTrue(job.accepted(), job.jobId());
            assertEquals("aborted", job.status(), job.jobId());
        }
        assertEquals(List.of(), simulation.invariants.broken());
    }

    @Test
    void aJobThatNamesACancelledOneIsAcceptedAndCancelled() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 60));
        simulation.run(3);
        simulation.users.cancel(root);
        simulation.run(60);
        SimulatedUsers.Job late = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).after(root));
        simulation.run(10);
        assertTrue(late.accepted());
        assertEquals("aborted", late.status());
        SimulatedUsers.Job later = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).after(late));
        simulation.run(10);
        assertEquals("aborted", later.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    @Test
    void aJobThatNamesFinishedOnesStartsAtOnce() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 5));
        simulation.run(40);
        assertEquals("done", root.status());
        SimulatedUsers.Job late = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).after(root, root));
        simulation.run(30);
        assertEquals("done", late.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    @Test
    void namesThatWereNeverAcceptedAreTurnedAway() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedUsers.Job never = simulation.users.job("blue", "batch", 1, 1, 5);
        SimulatedUsers.Job stranger = simulation.users.submit(
                simulation.users.job("blue", "batch", 1, 1, 5).after(never).odd());
        SimulatedUsers.Job itself =
                simulation.users.job("blue", "batch", 1, 1, 5).odd();
        simulation.users.submit(itself.after(itself));
        SimulatedUsers.Job noList = simulation.users.submit(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", "run-1")
                .odd());
        SimulatedUsers.Job noId = simulation.users.submit(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("waitsOn", List.of("job-1"))
                .odd());
        SimulatedUsers.Job nothing = simulation.users.submit(
                simulation.users.job("blue", "batch", 1, 1, 5).with("waitsOn", List.of()));
        simulation.run(5);
        for (SimulatedUsers.Job job : List.of(stranger, itself, noList, noId)) {
            assertTrue(job.refused(), job.jobId());
        }
        assertTrue(nothing.accepted());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    @Test
    void aRepeatedSubmissionIsKnownWhateverItNames() {
        Simulation simulation = new Simulation(3);
        simulation.run(3);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 5));
        simulation.run(3);
        SimulatedUsers.Job job = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 20).after(root));
        simulation.run(3);
        SimulatedUsers.Job never = simulation.users.job("blue", "batch", 1, 1, 5);
        simulation.users.submit(job.after(never));
        simulation.run(3);
        assertFalse(job.refused());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    /** Until every controller is known to read it, a value that older versions can't read is not written. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobsWithPrerequisitesAreTakenOnceAllControllersAreUpgraded(int seed) {
        Simulation simulation = new Simulation(seed);
        NODES.forEach(simulation::startOlder);
        simulation.run(5);
        for (int n = 0; n < 4; n++) {
            simulation.users.submit(Workloads.jobOf(simulation, n));
        }
        for (int i = 0; i < 3; i++) {
            String node = NODES.get(i);
            simulation.at(5_000 + i * 10_000L, () -> simulation.upgrade(node, 4));
        }
        // A process that ends before its turn comes back as it was; one that was upgraded stays so.
        simulation.at(8_000, () -> simulation.crashFor(NODES.get(2), 1));
        simulation.at(20_000, () -> simulation.crashFor(NODES.get(0), 1));
        simulation.run(22);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 10));
        simulation.run(1);
        SimulatedUsers.Job early = simulation.users.submit(
                simulation.users.job("blue", "batch", 1, 1, 5).after(root));
        simulation.run(5);
        assertFalse(early.accepted(), "seed " + seed);
        simulation.run(120);
        assertEquals("done", early.status(), "seed " + seed);
        Workloads.everyJobIsDone(simulation, seed);
    }

    /** Both versions serve, troubles come, and leadership passes between them in both directions. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aRollIsServedThroughCrashesCutsAndAnOutageAndLinesAreServedAfterIt(int seed) {
        Simulation simulation = new Simulation(seed);
        NODES.forEach(simulation::startOlder);
        for (int i = 0; i < 12; i++) {
            int n = i;
            simulation.at(3_000 + i * 5_000L, () -> simulation.users.submit(Workloads.jobOf(simulation, n)));
        }
        simulation.run(30);
        for (int i = 0; i < 3; i++) {
            String node = NODES.get(i);
            simulation.at(i * 12_000L, () -> simulation.upgrade(node, 4));
        }
        simulation.at(6_000, () -> simulation.crashFor(leader(simulation), 0.3));
        simulation.at(15_000, () -> simulation.cutOneWay(leader(simulation), "state", Simulation.Cut.LOSE));
        for (String node : NODES) {
            simulation.at(27_000, () -> simulation.cutOneWay(node, "state", Simulation.Cut.NONE));
        }
        simulation.at(18_000, () -> simulation.users.jobs().forEach(job -> {
            if (job.accepted() && job.tasks() == 12 && !job.status().equals("done")) {
                simulation.users.cancel(job);
            }
        }));
        simulation.at(28_000, () -> simulation.store.outage(20));
        simulation.at(30_000, () -> simulation.crashFor(leader(simulation), 2));
        simulation.run(55);
        List<Line> lines = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            lines.add(new Line(simulation).submit());
            simulation.run(12);
        }
        simulation.crashFor(leader(simulation), 3);
        simulation.users.cancel(lines.get(0).check);
        simulation.at(20_000, simulation.invariants::troublesAreOver);
        simulation.run(250);
        simulation.invariants.dayIsOver();
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.jobId());
        }
        assertEquals("done", lines.get(1).deliver.status(), "seed " + seed);
    }

    /** However many names a body holds, it is taken or turned away at once with the bound. */
    @Test
    void moreNamesThanAValueHoldsAreTurnedAwayWithTheBound() {
        Simulation simulation = new Simulation(3, 1, 1_000);
        simulation.announceLimits(2_048, 4, 28);
        simulation.run(3);
        List<SimulatedUsers.Job> roots = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            roots.add(simulation.users.submit(simulation.users.job("blue", "batch", 1, 0.1, 5)));
            simulation.run(0.2);
        }
        SimulatedUsers.Job fits = simulation.users.submit(
                simulation.users.job("red", "batch", 1, 1, 5).after(roots.toArray(SimulatedUsers.Job[]::new)));
        List<String> many = new ArrayList<>();
        for (int i = 0; i < 4_000; i++) {
            many.add(roots.get(i % 60).jobId() + i);
        }
        List<String> answers = new ArrayList<>();
        byte[] body = Json.bytes(simulation
                .users
                .job("red", "batch", 1, 1, 5)
                .with("waitsOn", many)
                .body());
        simulation.call(
                "users",
                "node-0:1",
                new Http.Request("POST", "/submissions", "", body),
                2_000,
                reply -> answers.add(
                        reply.status() + " " + new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8)));
        simulation.run(1);
        assertEquals(1, answers.size());
        assertTrue(answers.get(0).startsWith("400") && answers.get(0).contains("1740 bytes"), answers.get(0));
        simulation.run(120);
        assertEquals("done", fits.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }

    /** The rules would notice a scheduler that ignores prerequisites. */
    @Test
    void aStartBeforeItsTimeAndAnOrphanAreNoticed() {
        Simulation simulation = new Simulation(1);
        simulation.run(3);
        SimulatedUsers.Job root = simulation.users.submit(simulation.users.job("blue", "batch", 1, 1, 100));
        simulation.run(20);
        SimulatedUsers.Job ignored = simulation.users.job("blue", "batch", 1, 1, 5);
        simulation.users.submit(ignored);
        ignored.after(root);
        simulation.run(20);
        assertTrue(
                simulation.invariants.broken().stream().anyMatch(b -> b.startsWith("too_early")),
                simulation.invariants.broken()::toString);
        simulation.users.cancel(root);
        simulation.run(5);
        simulation.replaceControllers((request, reply) ->
                reply.accept(Http.Response.of(200, Json.bytes(Json.object().put("status", "pending")))));
        simulation.run(60);
        assertTrue(
                simulation.invariants.broken().stream().anyMatch(b -> b.startsWith("orphaned")),
                simulation.invariants.broken()::toString);
    }
}
