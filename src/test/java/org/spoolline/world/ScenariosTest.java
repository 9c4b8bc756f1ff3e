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
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** Days of a small deployment, each with its trouble, under an independent check of the rules. */
class ScenariosTest {
    /** Without this, a failure could not be looked into again. */
    @Test
    void theSameSeedReplaysTheSameDay() {
        List<String> days = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            World world = new World(9);
            world.run(3);
            for (int n = 0; n < 6; n++) {
                world.users.submit(jobOf(world, n));
            }
            world.at(20_000, () -> world.crashFor(leader(world), 3));
            world.run(90);
            days.add(world.rules.starts() + " " + world.state.value("token") + " "
                    + world.workers().keySet() + " " + world.random.nextLong());
        }
        assertEquals(days.get(0), days.get(1));
    }

    @Test
    void aQuietDayIsServedInFull() {
        day(200, world -> {});
    }

    @Test
    void theLeaderCrashesAndAnotherGoesOn() {
        day(260, world -> world.crashFor(leader(world), 6));
    }

    @Test
    void theLeaderCrashesAgainRightAfterItsReturn() {
        day(260, world -> {
            String leader = leader(world);
            world.crashFor(leader, 0.2);
            world.at(500, () -> world.crashFor(leader, 0.2));
            world.at(5_200, () -> world.crashFor(leader(world), 0.3));
        });
    }

    @Test
    void allControllersCrashAtOnce() {
        day(260, world -> List.of("node-0", "node-1", "node-2").forEach(n -> world.crashFor(n, 5)));
    }

    @Test
    void controllersAreRestartedInARoll() {
        day(300, world -> {
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                world.at(i * 15_000L, () -> world.crashFor(node, 5));
            }
        });
    }

    @Test
    void theLeaderLosesTheStateServiceAlone() {
        day(300, world -> {
            String leader = leader(world);
            world.cut(leader, "state", World.Cut.LOSE);
            world.at(30_000, () -> world.cut(leader, "state", World.Cut.NONE));
        });
    }

    @Test
    void theLeadersPacketsToTheStateServiceArriveMuchLater() {
        day(300, world -> {
            String leader = leader(world);
            world.cut(leader, "state", World.Cut.HOLD);
            world.at(25_000, () -> world.cut(leader, "state", World.Cut.NONE));
        });
    }

    @Test
    void theLeaderIsCutOffFromItsPeersAndTheStateButNotFromTheWorkers() {
        day(300, world -> {
            String leader = leader(world);
            for (String other : List.of("node-0", "node-1", "node-2", "state", "cloud")) {
                if (!other.equals(leader)) {
                    world.cut(leader, other, World.Cut.HOLD);
                    world.at(40_000, () -> world.cut(leader, other, World.Cut.NONE));
                }
            }
        });
    }

    /** A leader whom no worker reaches once kept them all waiting until their leases ended. */
    @Test
    void theLeaderLosesTheWorkersAloneAndGivesWay() {
        day(300, world -> {
            String deaf = leader(world);
            // Machines that come up meanwhile are cut off too: a leader that hears any of them stays.
            world.cut(World.WORKERS, deaf, World.Cut.LOSE);
            world.at(14_000, () -> assertFalse(deaf.equals(world.leader())));
            world.at(40_000, () -> world.cut(World.WORKERS, deaf, World.Cut.NONE));
        });
    }

    @Test
    void theStateServiceIsOutForAWhile() {
        day(260, world -> world.state.outage(20));
    }

    @Test
    void theStateServiceIsOutForLong() {
        day(420, world -> world.state.outage(120));
    }

    @Test
    void answersOfTheStateServiceAreLost() {
        day(260, world -> world.state.answersToLose = 6);
    }

    @Test
    void transactionsAreAppliedLate() {
        day(260, world -> {
            world.state.commitsToDelay = 5;
            world.at(20_000, () -> world.state.commitsToDelay = 3);
        });
    }

    @Test
    void theStateServiceAnswersSlowly() {
        day(300, world -> {
            world.slow("state", true);
            world.at(60_000, () -> world.slow("state", false));
        });
    }

    @Test
    void machinesBootLateOrNever() {
        day(400, world -> {
            world.cloud.bootS = 45;
            world.cloud.neverUp = 3;
        });
    }

    @Test
    void jobsComeInABurst() {
        day(400, world -> {
            for (int i = 0; i < 24; i++) {
                world.users.submit(jobOf(world, i));
            }
        });
    }

    @Test
    void estimatesAreWrongThroughout() {
        day(300, world -> {
            for (int i = 0; i < 8; i++) {
                world.users.submit(jobOf(world, i).with("expectS", i % 2 == 0 ? 0.5 : 900.0));
            }
        });
    }

    @Test
    void machinesDie() {
        day(260, world -> {
            busy(world).die();
            world.at(10_000, () -> busy(world).die());
        });
    }

    @Test
    void aMachineHangsAndResumesWithinItsLeaseOrAfterIt() {
        day(300, world -> {
            busy(world).hang(9);
            world.at(12_000, () -> busy(world).hang(40));
        });
    }

    /** Answered reports once kept such a machine in use: its tasks were placed there again at each lease's end. */
    @Test
    void reportsArriveButAnswersAndCommandsDoNotReachTheMachine() {
        day(400, world -> {
            FakeWorker worker = busy(world);
            world.cutOneWay("node-0", worker.name, World.Cut.LOSE);
            world.cutOneWay("node-1", worker.name, World.Cut.LOSE);
            world.cutOneWay("node-2", worker.name, World.Cut.LOSE);
            // Launches that the machine did not hear are given to others after one lease, not again and again.
            world.at(45_000, () -> world.users.submit(jobOf(world, 0)));
            world.at(240_000, () -> assertTrue(worker.dead(), "a machine that hears nobody is returned"));
        });
    }

    @Test
    void aMachineHearsNobodyForAWhileAndIsUsedAgain() {
        day(300, world -> {
            FakeWorker worker = busy(world);
            for (String node : List.of("node-0", "node-1", "node-2")) {
                world.cutOneWay(node, worker.name, World.Cut.HOLD);
                world.at(30_000, () -> world.cutOneWay(node, worker.name, World.Cut.NONE));
            }
        });
    }

    /** Late copies prove nothing and renew nothing, also when a new leader hears them first. */
    @Test
    void copiesOfReportsArriveLate() {
        day(400, world -> {
            world.copyReports(45_000);
            world.at(15_000, () -> busy(world).die());
            world.at(30_000, () -> world.crashFor(leader(world), 4));
            world.at(60_000, () -> world.cloud.take(busy(world).name));
            world.at(75_000, () -> world.crashFor(leader(world), 0.3));
            world.at(110_000, () -> world.copyReports(0));
        });
    }

    @Test
    void copiesOfReportsOfAHangingMachineArriveAfterItsLease() {
        day(400, world -> {
            world.copyReports(30_000);
            busy(world).hang(25);
            world.at(40_000, () -> busy(world).hang(9));
            world.at(90_000, () -> world.copyReports(0));
        });
    }

    @Test
    void aProcessIsBackWithinAFractionOfASecondInTheMiddleOfAnElection() {
        day(300, world -> {
            String first = leader(world);
            world.crash(first);
            for (int i = 0; i < 12; i++) {
                // Around the end of the lease, when the others stand.
                String node = "node-" + i % 3;
                world.at(4_000 + i * 170L, () -> world.crashFor(node, 0.1));
            }
            world.at(9_000, () -> world.startNode(first));
        });
    }

    /** The worker of a machine that is back at once knows nothing of its tasks, tokens and messages of before. */
    @Test
    void machinesAreBackWithinAFractionOfASecond() {
        day(400, world -> {
            world.copyReports(30_000);
            for (int i = 0; i < 6; i++) {
                world.at(i * 9_000L, () -> busy(world).dieAndBeBack(0.3));
            }
            world.at(20_000, () -> world.crashFor(leader(world), 0.3));
            world.at(20_200, () -> busy(world).dieAndBeBack(0.1));
            world.at(90_000, () -> world.copyReports(0));
        });
    }

    /** On waking, nothing that was queued may be answered on the strength of a leadership that has ended. */
    @Test
    void theLeaderStandsStillForLongerThanALeaseWhileItsClocksRunOn() {
        day(400, world -> {
            String first = leader(world);
            world.freeze(first, 24);
            world.at(60_000, () -> world.freeze(leader(world), 3));
            world.at(80_000, () -> {
                world.freeze(leader(world), 26);
                world.copyReports(20_000);
            });
            world.at(130_000, () -> world.copyReports(0));
        });
    }

    /** Many times the usual machines, in two teams' arrays and gangs; the fleet's troubles strike at 70 s. */
    private static void fleet(int seed, Days.Trouble trouble) {
        World world = new World(seed, 200, 500);
        world.cloud.capacity = 190;
        world.run(8);
        for (int i = 0; i < 10; i++) {
            int n = i;
            world.at(i * 4_000L, () -> {
                world.users.submit(
                        world.users.job("blue", "batch", 200 + 20 * n, 8, 30).with("lane", "wide"));
                world.users.submit(world.users
                        .job("red", "group", n % 2 == 0 ? 24 : 4, 7, 40)
                        .with("lane", "gang")
                        .with("samePlace", true)
                        .with("urgency", "urgent")
                        .with("bookmarkS", 5.0));
            });
        }
        world.run(70);
        trouble.strike(world);
        world.at(120_000, world.rules::troublesAreOver);
        world.run(330);
        everyJobIsDone(world, seed);
    }

    /** No bound of ours may lie below the machines that the users have: all are heard and get work, also after a crash. */
    @Test
    void fourThousandMachinesAreServedAcrossAChangeOfLeader() {
        World world = new World(1, 1_200, 2_000);
        world.cloud.capacity = 600;
        world.run(8);
        for (int i = 0; i < 30; i++) {
            int n = i;
            world.at(
                    i * 1_000L,
                    () -> world.users.submit(world.users
                            .job(n % 3 == 0 ? "red" : "blue", "batch", 200, 7, 60)
                            .with("lane", "wide")));
        }
        world.run(45);
        long busy = world.workers().values().stream()
                .filter(w -> w.tasks().stream().anyMatch(FakeWorker.Task::alive))
                .count();
        assertTrue(busy > 4_000, busy + " machines have work");
        world.crashFor(leader(world), 4);
        world.at(20_000, world.rules::troublesAreOver);
        world.run(140);
        everyJobIsDone(world, 1);
    }

    private static List<FakeWorker> some(World world, int count) {
        return world.workers().values().stream()
                .filter(w -> !w.dead())
                .limit(count)
                .toList();
    }

    @Test
    void aFleetIsServedWhileAllControllersAreBackAtOnceAlsoInAnElection() {
        fleet(1, w -> {
            assertTrue(
                    some(w, 2_000).size() > 1_000, "machines: " + some(w, 2_000).size());
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                w.crashFor(node, 0.3);
                w.at(600, () -> w.crashFor(node, 0.1));
                w.at(30_000, () -> w.crashFor(node, 4));
            }
            w.copyReports(30_000);
            w.at(100_000, () -> w.copyReports(0));
        });
    }

    /** Each nudge holds a socket until its time is over: hundreds at once would leave none for the state service. */
    @Test
    void ordersForHundredsOfSilentMachinesTakeFewSocketsAtOnce() {
        World world = new World(3, 40);
        world.cloud.capacity = 60;
        world.run(8);
        Users.Job job = world.users.submit(world.users.job("blue", "batch", 250, 8, 300));
        world.run(50);
        world.workers().values().forEach(w -> w.hang(9));
        int before = world.mostToWorkers;
        world.users.cancel(job);
        world.run(60);
        int most = world.settings("node-0").nudgesAtOnce();
        assertEquals(most, world.mostToWorkers, "before: " + before);
        assertEquals("aborted", job.status());
        assertEquals(List.of(), world.rules.broken());
    }

    @Test
    void aFleetIsServedDespiteACutOfHundredsOfMachinesACrashAndAStandstill() {
        fleet(2, w -> {
            for (FakeWorker worker : some(w, 200)) {
                for (int i = 0; i < 3; i++) {
                    String node = "node-" + i;
                    w.cut(worker.name, node, World.Cut.HOLD);
                    w.at(45_000, () -> w.cut(worker.name, node, World.Cut.NONE));
                }
            }
            w.at(4_000, () -> w.crashFor(leader(w), 6));
            w.at(20_000, () -> some(w, 400).subList(300, 400).forEach(FakeWorker::die));
            w.at(70_000, () -> w.freeze(leader(w), 26));
        });
    }

    /** A node that was back at once had to wait for the lease of its own earlier life. */
    @Test
    void aLeaderThatIsBackAtOnceNeedNotWaitForItself() {
        World world = new World(8);
        world.run(12);
        String leader = world.leader();
        long token = world.state.value("token").path("n").asLong();
        world.crashFor(leader, 0.2);
        world.run(2);
        assertEquals(leader, world.leader());
        assertTrue(world.state.value("token").path("n").asLong() > token);
    }

    /** The others' workers must not be kept from a new leader by one that has lost everything but them. */
    @Test
    void workersOfALeaderWithoutStateAndPeersFindTheNewOne() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            world.users.submit(world.users.job("blue", "batch", 6, 1, 200));
            world.run(37);
            String old = leader(world);
            for (String other : List.of("node-0", "node-1", "node-2", "state")) {
                if (!other.equals(old)) {
                    world.cut(old, other, World.Cut.LOSE);
                }
            }
            // Its own time to answer them ends after some 24 s.
            world.run(19);
            assertFalse(old.equals(world.leader()));
            for (FakeWorker worker : world.workers().values()) {
                assertTrue(worker.dead() || !worker.reportsTo().equals(old), "seed " + seed + ": " + worker.name);
            }
            assertEquals(List.of(), world.rules.broken());
        }
    }

    @Test
    void aDeafMachineBesideLateCopiesAndALeaderThatLosesStateAndPeers() {
        day(500, world -> {
            world.copyReports(30_000);
            FakeWorker worker = busy(world);
            String old = leader(world);
            for (String node : List.of("node-0", "node-1", "node-2")) {
                world.cutOneWay(node, worker.name, World.Cut.LOSE);
                if (!node.equals(old)) {
                    world.cut(old, node, World.Cut.HOLD);
                    world.at(40_000, () -> world.cut(old, node, World.Cut.NONE));
                }
            }
            world.cut(old, "state", World.Cut.HOLD);
            world.at(40_000, () -> world.cut(old, "state", World.Cut.NONE));
            world.at(100_000, () -> world.copyReports(0));
        });
    }

    /** Wide and narrow, urgent and not: nobody's largest job waits for a stream of small ones. */
    @Test
    void theLargestJobsBeginBesideAStreamOfSmallOnes() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 16);
            world.cloud.capacity = 20;
            world.run(3);
            for (int i = 0; i < 100; i++) {
                int n = i;
                world.at(
                        i * 1_500L,
                        () -> world.users.submit(world.users
                                .job(n % 2 == 0 ? "blue" : "red", "batch", 6, 1, 12)
                                .with("lane", "small")
                                .with("urgency", n % 3 == 0 ? "urgent" : "standard")));
            }
            world.at(
                    10_000,
                    () -> world.users.submit(world.users
                            .job("blue", "group", 24, 7, 40)
                            .with("lane", "gang")
                            .with("samePlace", true)
                            .with("urgency", "urgent")
                            .with("bookmarkS", 5.0)));
            world.at(
                    12_000,
                    () -> world.users.submit(
                            world.users.job("blue", "batch", 1_800, 1, 10).with("lane", "wide")));
            world.at(
                    14_000,
                    () -> world.users.submit(world.users
                            .job("red", "group", 32, 16, 20)
                            .with("lane", "limit")
                            .with("samePlace", false)));
            world.run(280);
            world.rules.troublesAreOver();
            world.run(150);
            everyJobIsDone(world, seed);
        }
    }

    /**
     * Members that had their image gave up waiting for those that still fetched, lost their places to others, fetched
     * again elsewhere, and the rest gave up in turn: such gangs once never started.
     */
    @Test
    void gangsWithLargeImagesStartDespiteUnevenFetches() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 4);
            world.run(3);
            List<Users.Job> gangs = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                gangs.add(world.users.submit(world.users
                        .job("red", "group", 3, 7, 20)
                        .with("samePlace", true)
                        .with("urgency", "urgent")
                        .with("plate", "large-" + i)
                        .with("imageGb", 75.0)));
            }
            for (int i = 0; i < 50; i++) {
                world.at(20_000 + i * 5_000L, () -> world.users.submit(world.users.job("blue", "batch", 8, 4, 15)));
            }
            world.at(60_000, () -> world.crashFor(leader(world), 5));
            world.run(300);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Users.Job gang : gangs) {
                assertEquals("done", gang.status(), "seed " + seed + ": " + gang.uid());
            }
        }
    }

    /** Room once leaked to whatever small job came next, in the machines as in the team's limit. */
    @Test
    void aStreamWithoutEndKeepsNoLargeGangFromBeginning() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 6);
            world.cloud.capacity = 12;
            world.run(3);
            for (int i = 0; i < 400; i++) {
                world.at(
                        i * 1_000L,
                        () -> world.users.submit(world.users
                                .job("red", "group", 1, 7, 40)
                                .with("lane", "small")
                                .with("urgency", "urgent")));
                world.at(
                        i * 1_000L + 500,
                        () -> world.users.submit(
                                world.users.job("blue", "batch", 8, 1, 15).with("lane", "stream")));
            }
            world.at(30_000, () -> {
                world.users.submit(world.users.job("blue", "group", 24, 8, 20).with("lane", "limit"));
                world.users.submit(world.users
                        .job("red", "group", 12, 7, 20)
                        .with("lane", "wide")
                        .with("samePlace", true)
                        .with("urgency", "urgent"));
            });
            world.run(330);
            world.rules.dayIsOver();
            assertEquals(
                    List.of(),
                    world.rules.broken().stream()
                            .filter(b -> !b.contains("unserved"))
                            .toList(),
                    "seed " + seed);
        }
    }

    /** With one request for each, three polls in four were refused here, and some jobs went without any answer. */
    @Test
    void manyJobsShareFewRequestsToTheStateService() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed, 1, 40);
            world.run(3);
            for (int i = 0; i < 700; i++) {
                world.at(i * 100L, () -> world.users.submit(world.users.job("blue", "batch", 1, 1, 600)));
            }
            world.run(90);
            world.rules.troublesAreOver();
            world.run(240);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            assertTrue(
                    world.users.pollsInVain * 3 < world.users.polls,
                    world.users.pollsInVain + " of " + world.users.polls + " polls in vain");
        }
    }

    @Test
    void aMachineLosesTheNetworkAndItsReportsArriveLate() {
        day(300, world -> {
            FakeWorker worker = busy(world);
            for (int i = 0; i < 3; i++) {
                String node = "node-" + i;
                world.cut(worker.name, node, World.Cut.HOLD);
                world.at(25_000, () -> world.cut(worker.name, node, World.Cut.NONE));
            }
        });
    }

    @Test
    void spotMachinesAreTakenWithNoticeAndWithout() {
        day(260, world -> {
            busy(world).notice(8);
            world.at(9_000, () -> world.cloud.take(busy(world).name));
        });
    }

    @Test
    void theCloudIsDown() {
        day(300, world -> world.cloud.outage(40));
    }

    @Test
    void theCloudHasFewMachinesLeft() {
        day(500, world -> world.cloud.capacity = 1);
    }

    @Test
    void aMachineFailsEveryTask() {
        day(300, world -> busy(world).sick = true);
    }

    @Test
    void theLeaderCrashesInAnOutageOfTheStateServiceWhileAMachineHangs() {
        day(400, world -> {
            world.state.outage(30);
            busy(world).hang(25);
            world.at(5_000, () -> world.crashFor(leader(world), 4));
        });
    }

    @Test
    void usersCancelInEveryPhase() {
        for (int seed = 1; seed <= 3 * SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            for (int i = 0; i < 8; i++) {
                Users.Job job = world.users.submit(jobOf(world, i));
                long after = i * 4_000L + world.random.nextInt(3_000);
                world.at(after, () -> world.users.cancel(job));
            }
            world.at(20_000, () -> world.crashFor(leader(world), 5));
            world.run(200);
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Users.Job job : world.users.jobs()) {
                assertTrue(List.of("done", "aborted").contains(job.status()), job.uid() + " is " + job.status());
            }
        }
    }

    @Test
    void aCancelledJobEndsOnAMachineThatNobodyReaches() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            world.run(3);
            Users.Job job = world.users.submit(world.users.job("blue", "batch", 4, 2, 300));
            world.run(40);
            world.workers().values().forEach(w -> {
                for (int i = 0; i < 3; i++) {
                    world.cut(w.name, "node-" + i, World.Cut.LOSE);
                }
            });
            world.users.cancel(job);
            world.run(120);
            assertEquals("aborted", job.status());
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
        }
    }

    @Test
    void aJobThatFailsEverywhereNeitherEndsNorTakesTheMachinesDown() {
        World world = new World(7);
        world.run(3);
        Users.Job bad =
                world.users.submit(world.users.job("red", "batch", 3, 1, 5).faulty());
        Users.Job good = world.users.submit(world.users.job("blue", "batch", 8, 1, 10));
        world.run(120);
        assertEquals("done", good.status());
        assertFalse(List.of("done", "aborted").contains(bad.status()));
        world.users.cancel(bad);
        world.run(60);
        assertEquals("aborted", bad.status());
        assertEquals(List.of(), world.rules.broken());
    }

    /** A node that alone can't reach the state service hands requests to one that can. */
    @Test
    void aNodeCutOffFromTheStateServicePassesRequestsOn() {
        World world = new World(2);
        world.run(8);
        world.cut("node-1", "state", World.Cut.LOSE);
        world.run(10);
        List<Integer> statuses = new ArrayList<>();
        world.call(
                "users",
                "node-1:1",
                new Http.Request("GET", "/submissions/run-000042", "", new byte[0]),
                2_000,
                reply -> statuses.add(reply.status()));
        world.run(3);
        assertEquals(List.of(404), statuses);
    }

    @Test
    void aJobNobodySubmittedIsUnknown() {
        World world = new World(1);
        world.run(3);
        List<Integer> statuses = new ArrayList<>();
        world.users.askForNothing(statuses::add);
        world.run(3);
        assertEquals(List.of(404), statuses);
    }

    /** A new leader has heard nobody yet: it once took machines that were long up for ones that never came up. */
    @Test
    void aNewLeaderKeepsMachinesThatHaveLongBeenUp() {
        World world = new World(4);
        world.run(3);
        world.users.submit(world.users.job("blue", "batch", 4, 8, 5));
        world.run(49);
        long up = world.workers().values().stream().filter(w -> !w.dead()).count();
        assertTrue(up > 0);
        world.crashFor(leader(world), 5);
        world.run(8);
        assertEquals(
                up, world.workers().values().stream().filter(w -> !w.dead()).count());
    }

    /** An offer that was noted as asked for when leadership lapsed for a moment was once never rented again. */
    @Test
    void aRentalAnsweredWhileLeadershipHasLapsedIsNotAskedForEver() {
        World world = new World(6);
        world.run(8);
        String leader = world.leader();
        world.cut(leader, "cloud", World.Cut.HOLD);
        onlySmallInZoneA(world, 400);
        world.run(0.5);
        world.state.outage(12);
        world.run(6);
        world.cut(leader, "cloud", World.Cut.NONE);
        world.run(30);
        assertEquals(leader, world.leader());
        Users.Job second = onlySmallInZoneA(world, 20);
        world.run(90);
        assertEquals("done", second.status());
        assertEquals(List.of(), world.rules.broken());
    }

    private static Users.Job onlySmallInZoneA(World world, double runS) {
        Users.Job job =
                world.users.job("blue", "batch", 2, 8, runS).with("yard", "a").with("standby", false);
        return world.users.submit(job.with("builds", Json.array().add("small")));
    }

    @Test
    void idleMachinesAreReturned() {
        World world = new World(3);
        world.run(3);
        world.users.submit(world.users.job("blue", "batch", 10, 2, 5));
        world.run(60);
        assertTrue(world.workers().values().stream().anyMatch(w -> !w.dead()));
        world.run(200);
        assertTrue(world.workers().values().stream().allMatch(FakeWorker::dead));
    }
}
