package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.world.Days.SEEDS;
import static org.spoolline.world.Days.busy;
import static org.spoolline.world.Days.day;
import static org.spoolline.world.Days.everyJobIsDone;
import static org.spoolline.world.Days.jobOf;
import static org.spoolline.world.Days.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Json;

/** Two troubles at once: each story brings one meeting about, and asserts that it came about. See docs/meetings.md. */
class ConcurrentFailuresTest {
    private static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    private static List<FakeWorker> up(World world) {
        return world.workers().values().stream().filter(w -> !w.dead()).toList();
    }

    /** Cuts a host from every controller but the named one, or heals it. */
    private static void cutFromNodes(World world, String host, String but, World.Cut how) {
        for (String node : NODES) {
            if (!node.equals(host) && !node.equals(but)) {
                world.cut(host, node, how);
            }
        }
    }

    /** Users call off every n-th job that is known and not over. */
    private static int cancelSome(World world, int every) {
        int n = 0;
        int called = 0;
        for (Users.Job job : world.users.jobs()) {
            if (job.accepted() && !List.of("done", "aborted").contains(job.status()) && n++ % every == 0) {
                world.users.cancel(job);
                called++;
            }
        }
        return called;
    }

    private static Users.Job longJob(World world, String team, int tasks, double cores) {
        return world.users.submit(world.users.job(team, "batch", tasks, cores, 70));
    }

    @Test
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage() {
        day(520, world -> {
            long before = world.state.value("token").path("n").asLong();
            for (int i = 0; i < 6; i++) {
                longJob(world, i % 2 == 0 ? "blue" : "red", 3, 2);
            }
            for (int i = 0; i < 12; i++) {
                // Ends spread over the lease of the key, so that now the same node and now another comes next.
                world.at(i * 10_000L, () -> world.crashFor(leader(world), world.random.nextInt(80) / 10.0 + 0.1));
                world.at(i * 10_000L + world.random.nextInt(6_000), () -> cancelSome(world, 5));
            }
            world.at(50_000, () -> world.state.outage(15));
            world.at(
                    125_000,
                    () -> assertTrue(
                            world.state.value("token").path("n").asLong() >= before + 9, "leaders changed too seldom"));
        });
    }

    @Test
    void theStateServiceIsSlowRefusesTheLeaderAndThenEverybodyWhileUsersCancelAndAsk() {
        day(420, world -> {
            longJob(world, "blue", 6, 2);
            longJob(world, "red", 4, 2);
            world.slow("state", true);
            String first = leader(world);
            world.at(8_000, () -> world.state.refuse(first, 14));
            world.at(8_500, () -> assertTrue(cancelSome(world, 2) > 0));
            world.at(10_000, () -> world.state.outage(55));
            world.at(30_000, () -> cancelSome(world, 2));
            world.at(90_000, () -> world.slow("state", false));
        });
    }

    /** What can't be asked counts against the limit until it is proven gone, cancelled or not, whoever leads. */
    @Test
    void aTeamIsAtItsLimitWhenTheLeaderChangesMachinesAreSilentAndAJobIsCancelled() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            List<Users.Job> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                jobs.add(longJob(world, "red", 8, 2));
            }
            world.run(40);
            double red = up(world).stream()
                            .flatMap(w -> w.tasks().stream())
                            .filter(FakeWorker.Task::alive)
                            .count()
                    * 2.0;
            assertEquals(32, red, "seed " + seed + ": the team is not at its limit");
            world.crashFor(leader(world), 7);
            for (FakeWorker worker : up(world).subList(0, 2)) {
                cutFromNodes(world, worker.name, "", World.Cut.HOLD);
                world.at(
                        11_000 + world.random.nextInt(14_000),
                        () -> cutFromNodes(world, worker.name, "", World.Cut.NONE));
            }
            world.at(world.random.nextInt(12_000), () -> world.users.cancel(jobs.get(0)));
            world.at(world.random.nextInt(12_000), () -> world.users.cancel(jobs.get(1)));
            world.at(60_000, world.rules::troublesAreOver);
            world.run(520);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Users.Job job : jobs) {
                assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.uid());
            }
        }
    }

    @Test
    void aLeaderCutFromStateAndPeersKeepsWorkersAndUsersWhileTheNewOneCancels() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            List<Users.Job> jobs = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                jobs.add(longJob(world, i % 2 == 0 ? "blue" : "red", 4, 2));
            }
            world.run(40);
            String old = leader(world);
            cutFromNodes(world, old, "", World.Cut.LOSE);
            world.cut(old, "state", World.Cut.LOSE);
            world.at(7_000, () -> {
                assertFalse(old.equals(world.leader()), "no new leader");
                jobs.subList(0, 3).forEach(world.users::cancel);
            });
            world.at(70_000, () -> {
                cutFromNodes(world, old, "", World.Cut.NONE);
                world.cut(old, "state", World.Cut.NONE);
                world.rules.troublesAreOver();
            });
            world.run(330);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (int i = 0; i < jobs.size(); i++) {
                assertEquals(i < 3 ? "aborted" : "done", jobs.get(i).status(), "seed " + seed);
            }
        }
    }

    @Test
    void jobsBoundToOneZoneLoseMachinesAcrossAChangeOfLeader() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            world.users.submit(world.users.job("blue", "batch", 10, 4, 30).with("samePlace", true));
            world.users.submit(world.users
                    .job("red", "group", 4, 4, 40)
                    .with("samePlace", true)
                    .with("bookmarkS", 5.0)
                    .with("stashS", 1.0));
            world.users.submit(world.users.job("blue", "batch", 6, 4, 30).with("yard", "b"));
            world.users.submit(world.users.job("blue", "group", 5, 2, 40).with("scatter", true));
            world.run(45);
            int[] lost = new int[1];
            for (int i = 0; i < 4; i++) {
                world.at(i * 11_000L, () -> {
                    FakeWorker worker = busy(world);
                    lost[0] += worker.dead() ? 0 : 1;
                    if (world.random.nextBoolean()) {
                        worker.die();
                    } else {
                        cutFromNodes(world, worker.name, "", World.Cut.LOSE);
                        world.at(25_000, () -> cutFromNodes(world, worker.name, "", World.Cut.NONE));
                    }
                });
            }
            world.at(12_000, () -> world.crashFor(leader(world), 5));
            world.run(80);
            assertTrue(lost[0] > 0, "no machine was lost");
            world.rules.troublesAreOver();
            world.run(300);
            everyJobIsDone(world, seed);
        }
    }

    @Test
    void theLeaderEndsWhileMachinesWithLongTasksAreSilentOrDoNotHearTheNewOne() {
        day(420, world -> {
            longJob(world, "blue", 8, 2);
            longJob(world, "red", 6, 2);
            world.at(14_000, () -> {
                String first = leader(world);
                List<FakeWorker> workers = up(world);
                for (int i = 0; i < workers.size(); i++) {
                    String worker = workers.get(i).name;
                    if (i % 3 == 0) {
                        cutFromNodes(world, worker, "", World.Cut.HOLD);
                        world.at(30_000, () -> cutFromNodes(world, worker, "", World.Cut.NONE));
                    } else if (i % 3 == 1) {
                        NODES.forEach(n -> world.cutOneWay(n, worker, World.Cut.LOSE));
                        world.at(35_000, () -> NODES.forEach(n -> world.cutOneWay(n, worker, World.Cut.NONE)));
                    }
                }
                world.crashFor(first, 6);
                world.at(4_000, () -> cancelSome(world, 3));
            });
        });
    }

    /** The end acknowledged by one leader is counted once by the next, the other task's too. */
    @Test
    void jobsOfTwoOrThreeTasksEndFarApartAcrossAChangeOfLeader() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            List<Users.Job> jobs = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                jobs.add(world.users.submit(world.users
                        .job(i % 2 == 0 ? "blue" : "red", "batch", 2 + i % 2, 2, 8 + i)
                        .endingApart(14_000)));
            }
            for (int i = 0; i < 60 && !halfWay(world, jobs); i++) {
                world.run(1);
            }
            assertTrue(halfWay(world, jobs), "seed " + seed + ": no job is half way");
            world.state.answersToLose = 2;
            world.crashFor(leader(world), 0.2);
            world.at(9_000, () -> world.crashFor(leader(world), 6));
            world.at(18_000, () -> world.crashFor(leader(world), 0.2));
            world.run(60);
            world.rules.troublesAreOver();
            world.run(160);
            everyJobIsDone(world, seed);
        }
    }

    private static boolean halfWay(World world, List<Users.Job> jobs) {
        return jobs.stream().anyMatch(j -> world.rules.completedCount(j.uid()) % j.tasks() != 0);
    }

    @Test
    void answersAreHeldUpForSecondsAndTheMachineGoesOn() {
        day(360, world -> {
            longJob(world, "blue", 6, 2);
            for (int i = 0; i < 8; i++) {
                world.at(i * 7_000L, () -> {
                    FakeWorker worker = busy(world);
                    NODES.forEach(n -> world.cutOneWay(n, worker.name, World.Cut.HOLD));
                    long seconds = 2 + world.random.nextInt(6);
                    world.at(
                            seconds * 1_000, () -> NODES.forEach(n -> world.cutOneWay(n, worker.name, World.Cut.NONE)));
                    busy(world).hang(seconds);
                    world.at(1_000, () -> cancelSome(world, 6));
                });
            }
        });
    }

    @Test
    void allControllersAreAwayForLongerThanALeaseWithCancellationsBefore() {
        day(420, world -> {
            longJob(world, "blue", 6, 2);
            longJob(world, "red", 6, 2);
            world.at(9_000, () -> assertTrue(cancelSome(world, 3) > 0));
            world.at(9_300, () -> NODES.forEach(n -> world.crashFor(n, 25)));
        });
    }

    @Test
    void moreWorkThanRoomUrgentAndNotOverSlowLinks() {
        day(700, world -> {
            world.cloud.capacity = 2;
            NODES.forEach(n -> world.slow(n, true));
            world.slow("state", true);
            for (int i = 0; i < 16; i++) {
                world.users.submit(jobOf(world, i)
                        .with("urgency", i % 3 == 0 ? "urgent" : i % 3 == 1 ? "standard" : "best_effort"));
            }
            world.at(20_000, () -> cancelSome(world, 4));
            world.at(60_000, () -> world.crashFor(leader(world), 5));
            world.at(200_000, () -> {
                NODES.forEach(n -> world.slow(n, false));
                world.slow("state", false);
            });
        });
    }

    /** The node inside leads or not; the workers inside stay with it while it may answer them. */
    @Test
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease() {
        for (boolean leaderInside : List.of(true, false)) {
            day(480, world -> {
                longJob(world, "blue", 8, 2);
                longJob(world, "red", 4, 2);
                world.at(14_000, () -> {
                    String inside = leaderInside
                            ? leader(world)
                            : NODES.stream()
                                    .filter(n -> !n.equals(leader(world)))
                                    .findFirst()
                                    .orElseThrow();
                    List<FakeWorker> zone =
                            up(world).stream().filter(w -> w.zone.equals("a")).toList();
                    cutFromNodes(world, inside, "", World.Cut.HOLD);
                    for (String other : List.of("state", "cloud", "users")) {
                        world.cut(inside, other, World.Cut.HOLD);
                    }
                    zone.forEach(w -> cutFromNodes(world, w.name, inside, World.Cut.HOLD));
                    world.at(6_000, () -> cancelSome(world, 3));
                    world.at(40_000, () -> {
                        cutFromNodes(world, inside, "", World.Cut.NONE);
                        List.of("state", "cloud", "users").forEach(o -> world.cut(inside, o, World.Cut.NONE));
                        zone.forEach(w -> cutFromNodes(world, w.name, inside, World.Cut.NONE));
                    });
                });
            });
        }
    }

    /** Elections, submissions, cancellations, cycles and ends alike are carried out late, after newer ones. */
    @Test
    void transactionsAreCarriedOutLateAfterNewerOnes() {
        int[] late = new int[2];
        day(460, world -> {
            world.state.lateWrites(0.25, 80);
            for (int i = 0; i < 8; i++) {
                int n = i;
                world.at(i * 6_000L, () -> world.users.submit(jobOf(world, n)));
                world.at(i * 9_000L + 3_000, () -> cancelSome(world, 4));
            }
            world.at(20_000, () -> world.crashFor(leader(world), 0.3));
            world.at(45_000, () -> world.crashFor(leader(world), 6));
            world.at(120_000, () -> {
                late[0] += world.state.late;
                late[1] += world.state.lateApplied;
            });
        });
        assertTrue(late[0] > 20 && late[1] > 0, "late " + late[0] + ", carried out " + late[1]);
    }

    @Test
    void controllersHandOverAndBackAllEndAndOneReturnsWithinASecond() {
        day(420, world -> {
            longJob(world, "blue", 6, 2);
            longJob(world, "red", 4, 2);
            for (int i = 0; i < 4; i++) {
                world.at(i * 9_000L, () -> {
                    String first = leader(world);
                    world.freeze(first, 7);
                    world.at(6_000, () -> cancelSome(world, 6));
                });
            }
            world.at(40_000, () -> {
                NODES.forEach(world::crash);
                world.at(600, () -> world.startNode("node-1"));
                world.at(8_000, () -> world.startNode("node-0"));
                world.at(8_500, () -> world.crashFor("node-1", 0.2));
                world.at(14_000, () -> world.startNode("node-2"));
            });
        });
    }

    /** A mute machine renews nothing: its tasks end with its lease, and nobody may start them elsewhere before. */
    @Test
    void machinesThatReachNoControllerStillTakeCommandsWhileJobsAreCancelled() {
        day(420, world -> {
            longJob(world, "blue", 8, 2);
            world.at(14_000, () -> {
                List<FakeWorker> some =
                        up(world).subList(0, Math.max(1, up(world).size() / 2));
                some.forEach(w -> world.mute(w.name, 30));
                world.at(1_000, () -> cancelSome(world, 2));
                world.at(9_000, () -> world.crashFor(leader(world), 5));
            });
        });
    }

    @Test
    void aReportIsHeldBackUntilANewLeaderHasActedAndThenArrivesThere() {
        day(420, world -> {
            longJob(world, "blue", 8, 2);
            longJob(world, "red", 4, 2);
            world.at(14_000, () -> {
                String next = NODES.stream()
                        .filter(n -> !n.equals(leader(world)))
                        .findFirst()
                        .orElseThrow();
                // What workers send there now arrives once it leads, with copies of what they say meanwhile.
                world.cutOneWay(World.WORKERS, next, World.Cut.HOLD);
                world.copyReports(40_000);
                world.crashFor(leader(world), 9);
                world.at(3_000, () -> busy(world).hang(20));
                world.at(
                        12_000 + world.random.nextInt(12_000),
                        () -> world.cutOneWay(World.WORKERS, next, World.Cut.NONE));
                world.at(7_000, () -> cancelSome(world, 3));
                world.at(45_000, () -> world.copyReports(0));
            });
        });
    }

    @Test
    void oldReportsOfEarlierSessionsAndAttemptsArriveAfterNewerOnes() {
        day(480, world -> {
            world.copyReports(50_000);
            longJob(world, "blue", 6, 2);
            longJob(world, "red", 4, 2);
            for (int i = 0; i < 5; i++) {
                world.at(8_000 + i * 13_000L, () -> {
                    busy(world).hang(18);
                    busy(world).dieAndBeBack(0.4);
                    cancelSome(world, 7);
                });
            }
            world.at(30_000, () -> world.crashFor(leader(world), 0.3));
            world.at(52_000, () -> world.crashFor(leader(world), 6));
            world.at(100_000, () -> world.copyReports(0));
        });
    }

    @Test
    void aCancellationAQuestionAndARepeatedSubmissionMeetTheEndOfAJob() {
        int[] met = new int[1];
        day(260, world -> {
            world.users.cancelAtEnd(0.8, 100);
            for (int i = 0; i < 10; i++) {
                int n = i;
                world.at(i * 3_000L, () -> world.users.submit(jobOf(world, n)));
            }
            world.at(100_000, () -> met[0] += world.users.calledOffAtEnd);
        });
        assertTrue(met[0] > 10, "met " + met[0]);
    }

    /** The burst comes within a fifth of a second, and the machines hang right after it. */
    @Test
    void manyRunningJobsAreCalledOffAtOnceAndTheirMachinesHang() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            List<Users.Job> jobs = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                jobs.add(world.users.submit(world.users.job(i % 2 == 0 ? "blue" : "red", "batch", 3, 1, 300)));
            }
            world.run(40);
            jobs.forEach(j -> world.at(world.random.nextInt(200), () -> world.users.cancel(j)));
            List<FakeWorker> hung = up(world).stream()
                    .filter(w -> !w.tasks().isEmpty())
                    .limit(8)
                    .toList();
            assertFalse(hung.isEmpty());
            int hangS = 4 + world.random.nextInt(30);
            world.at(world.random.nextInt(400), () -> hung.forEach(w -> w.hang(hangS)));
            world.at(1_000, () -> world.crashFor(leader(world), 0.3));
            world.run(120);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            jobs.forEach(j -> assertEquals("aborted", j.status()));
        }
    }

    @Test
    void oddRequestsAreTurnedAwayForGoodAndRepeatsAreKnown() {
        World world = new World(11);
        world.run(6);
        Users.Job good = world.users.submit(world.users.job("blue", "batch", 2, 1, 20));
        List<Users.Job> odd = new ArrayList<>();
        for (String field : List.of(
                "lane",
                "desk",
                "shape",
                "urgency",
                "slips",
                "cores",
                "accelerators",
                "memGb",
                "plate",
                "imageGb",
                "samePlace",
                "scatter",
                "standby",
                "expectS",
                "bookmarkS",
                "stashS")) {
            odd.add(world.users.job("blue", "batch", 1, 1, 5).without(field));
        }
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("cores", "2"));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("slips", -1));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("slips", 2.5));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("expectS", -3.0));
        odd.add(world.users.job("blue", "batch", 1, 40, 5));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("memGb", 1_000));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("accelerators", 1));
        odd.add(world.users.job("blue", "batch", 1, 1, 5).with("yard", "nowhere"));
        odd.add(world.users
                .job("blue", "batch", 1, 1, 5)
                .with("builds", Json.array().add("unheard-of")));
        odd.add(world.users.job("nobody", "batch", 1, 1, 5));
        odd.add(world.users.job("red", "group", 5, 8, 5));
        odd.add(world.users
                .job("blue", "group", 3, 1, 5)
                .with("samePlace", true)
                .with("scatter", true));
        odd.add(world.users.job("blue", "group", 3, 1, 5).with("yard", "a").with("scatter", true));
        odd.forEach(j -> world.users.submit(j.odd()));
        world.run(12);
        world.users.submit(good);
        world.run(60);
        assertEquals(List.of(), world.rules.broken());
        odd.forEach(j -> assertTrue(j.refused(), j.uid() + " was not turned away"));
        assertEquals("done", good.status());
        world.users.cancel(good);
        world.users.submit(good);
        world.run(5);
        assertEquals("done", good.status());
        assertEquals(List.of(), world.rules.broken());
    }
}
