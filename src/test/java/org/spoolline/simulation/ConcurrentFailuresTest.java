package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.busy;
import static org.spoolline.simulation.Workloads.day;
import static org.spoolline.simulation.Workloads.everyJobIsDone;
import static org.spoolline.simulation.Workloads.jobOf;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.net.Json;

/** Two troubles at once: each story brings one meeting about, and asserts that it came about. See docs/meetings.md. */
class ConcurrentFailuresTest {
    private static final List<String> NODES = List.of("node-0", "node-1", "node-2");

    private static List<FakeWorker> up(Simulation simulation) {
        return simulation.workers().values().stream().filter(w -> !w.dead()).toList();
    }

    /** Cuts a host from every controller but the named one, or heals it. */
    private static void cutFromNodes(Simulation simulation, String host, String but, Simulation.Cut how) {
        for (String node : NODES) {
            if (!node.equals(host) && !node.equals(but)) {
                simulation.cut(host, node, how);
            }
        }
    }

    /** Users call off every n-th job that is known and not over. */
    private static int cancelSome(Simulation simulation, int every) {
        int n = 0;
        int called = 0;
        for (SimulatedUsers.Job job : simulation.users.jobs()) {
            if (job.accepted() && !List.of("done", "aborted").contains(job.status()) && n++ % every == 0) {
                simulation.users.cancel(job);
                called++;
            }
        }
        return called;
    }

    private static SimulatedUsers.Job longJob(Simulation simulation, String team, int tasks, double cores) {
        return simulation.users.submit(simulation.users.job(team, "batch", tasks, cores, 70));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leadersChangeTenTimesInTwoMinutesAlsoInsideAnOutage(int seed) {
        day(seed, 520, simulation -> {
            long before = simulation.store.value("token").path("n").asLong();
            for (int i = 0; i < 6; i++) {
                longJob(simulation, i % 2 == 0 ? "blue" : "red", 3, 2);
            }
            for (int i = 0; i < 12; i++) {
                // Ends spread over the lease of the key, so that now the same node and now another comes next.
                simulation.at(
                        i * 10_000L,
                        () -> simulation.crashFor(leader(simulation), simulation.random.nextInt(80) / 10.0 + 0.1));
                simulation.at(i * 10_000L + simulation.random.nextInt(6_000), () -> cancelSome(simulation, 5));
            }
            simulation.at(50_000, () -> simulation.store.outage(15));
            simulation.at(
                    125_000,
                    () -> assertTrue(
                            simulation.store.value("token").path("n").asLong() >= before + 9,
                            "leaders changed too seldom"));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theStateServiceIsSlowRefusesTheLeaderAndThenEverybodyWhileUsersCancelAndAsk(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 6, 2);
            longJob(simulation, "red", 4, 2);
            simulation.slow("state", true);
            String first = leader(simulation);
            simulation.at(8_000, () -> simulation.store.refuse(first, 14));
            simulation.at(8_500, () -> assertTrue(cancelSome(simulation, 2) > 0));
            simulation.at(10_000, () -> simulation.store.outage(55));
            simulation.at(30_000, () -> cancelSome(simulation, 2));
            simulation.at(90_000, () -> simulation.slow("state", false));
        });
    }

    /** What can't be asked counts against the limit until it is proven gone, cancelled or not, whoever leads. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void aTeamIsAtItsLimitWhenTheLeaderChangesMachinesAreSilentAndAJobIsCancelled(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedUsers.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            jobs.add(longJob(simulation, "red", 8, 2));
        }
        simulation.run(40);
        double red = up(simulation).stream()
                        .flatMap(w -> w.tasks().stream())
                        .filter(FakeWorker.Task::alive)
                        .count()
                * 2.0;
        assertEquals(32, red, "seed " + seed + ": the team is not at its limit");
        simulation.crashFor(leader(simulation), 7);
        for (FakeWorker worker : up(simulation).subList(0, 2)) {
            cutFromNodes(simulation, worker.name, "", Simulation.Cut.HOLD);
            simulation.at(
                    11_000 + simulation.random.nextInt(14_000),
                    () -> cutFromNodes(simulation, worker.name, "", Simulation.Cut.NONE));
        }
        simulation.at(simulation.random.nextInt(12_000), () -> simulation.users.cancel(jobs.get(0)));
        simulation.at(simulation.random.nextInt(12_000), () -> simulation.users.cancel(jobs.get(1)));
        simulation.at(60_000, simulation.invariants::troublesAreOver);
        simulation.run(520);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (SimulatedUsers.Job job : jobs) {
            assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.jobId());
        }
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void aLeaderCutFromStateAndPeersKeepsWorkersAndUsersWhileTheNewOneCancels(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedUsers.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            jobs.add(longJob(simulation, i % 2 == 0 ? "blue" : "red", 4, 2));
        }
        simulation.run(40);
        String old = leader(simulation);
        cutFromNodes(simulation, old, "", Simulation.Cut.LOSE);
        simulation.cut(old, "state", Simulation.Cut.LOSE);
        simulation.at(7_000, () -> {
            assertFalse(old.equals(simulation.leader()), "no new leader");
            jobs.subList(0, 3).forEach(simulation.users::cancel);
        });
        simulation.at(70_000, () -> {
            cutFromNodes(simulation, old, "", Simulation.Cut.NONE);
            simulation.cut(old, "state", Simulation.Cut.NONE);
            simulation.invariants.troublesAreOver();
        });
        simulation.run(330);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        for (int i = 0; i < jobs.size(); i++) {
            assertEquals(i < 3 ? "aborted" : "done", jobs.get(i).status(), "seed " + seed);
        }
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void jobsBoundToOneZoneLoseMachinesAcrossAChangeOfLeader(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 10, 4, 30).with("samePlace", true));
        simulation.users.submit(simulation
                .users
                .job("red", "group", 4, 4, 40)
                .with("samePlace", true)
                .with("bookmarkS", 5.0)
                .with("stashS", 1.0));
        simulation.users.submit(simulation.users.job("blue", "batch", 6, 4, 30).with("yard", "b"));
        simulation.users.submit(simulation.users.job("blue", "group", 5, 2, 40).with("scatter", true));
        simulation.run(45);
        int[] lost = new int[1];
        for (int i = 0; i < 4; i++) {
            simulation.at(i * 11_000L, () -> {
                FakeWorker worker = busy(simulation);
                lost[0] += worker.dead() ? 0 : 1;
                if (simulation.random.nextBoolean()) {
                    worker.die();
                } else {
                    cutFromNodes(simulation, worker.name, "", Simulation.Cut.LOSE);
                    simulation.at(25_000, () -> cutFromNodes(simulation, worker.name, "", Simulation.Cut.NONE));
                }
            });
        }
        simulation.at(12_000, () -> simulation.crashFor(leader(simulation), 5));
        simulation.run(80);
        assertTrue(lost[0] > 0, "no machine was lost");
        simulation.invariants.troublesAreOver();
        simulation.run(300);
        everyJobIsDone(simulation, seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void theLeaderEndsWhileMachinesWithLongTasksAreSilentOrDoNotHearTheNewOne(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 8, 2);
            longJob(simulation, "red", 6, 2);
            simulation.at(14_000, () -> {
                String first = leader(simulation);
                List<FakeWorker> workers = up(simulation);
                for (int i = 0; i < workers.size(); i++) {
                    String worker = workers.get(i).name;
                    if (i % 3 == 0) {
                        cutFromNodes(simulation, worker, "", Simulation.Cut.HOLD);
                        simulation.at(30_000, () -> cutFromNodes(simulation, worker, "", Simulation.Cut.NONE));
                    } else if (i % 3 == 1) {
                        NODES.forEach(n -> simulation.cutOneWay(n, worker, Simulation.Cut.LOSE));
                        simulation.at(
                                35_000, () -> NODES.forEach(n -> simulation.cutOneWay(n, worker, Simulation.Cut.NONE)));
                    }
                }
                simulation.crashFor(first, 6);
                simulation.at(4_000, () -> cancelSome(simulation, 3));
            });
        });
    }

    /** The end acknowledged by one leader is counted once by the next, the other task's too. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void jobsOfTwoOrThreeTasksEndFarApartAcrossAChangeOfLeader(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedUsers.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            jobs.add(simulation.users.submit(simulation
                    .users
                    .job(i % 2 == 0 ? "blue" : "red", "batch", 2 + i % 2, 2, 8 + i)
                    .endingApart(14_000)));
        }
        for (int i = 0; i < 60 && !halfWay(simulation, jobs); i++) {
            simulation.run(1);
        }
        assertTrue(halfWay(simulation, jobs), "seed " + seed + ": no job is half way");
        simulation.store.answersToLose = 2;
        simulation.crashFor(leader(simulation), 0.2);
        simulation.at(9_000, () -> simulation.crashFor(leader(simulation), 6));
        simulation.at(18_000, () -> simulation.crashFor(leader(simulation), 0.2));
        simulation.run(60);
        simulation.invariants.troublesAreOver();
        simulation.run(160);
        everyJobIsDone(simulation, seed);
    }

    private static boolean halfWay(Simulation simulation, List<SimulatedUsers.Job> jobs) {
        return jobs.stream().anyMatch(j -> simulation.invariants.completedCount(j.jobId()) % j.tasks() != 0);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void answersAreHeldUpForSecondsAndTheMachineGoesOn(int seed) {
        day(seed, 360, simulation -> {
            longJob(simulation, "blue", 6, 2);
            for (int i = 0; i < 8; i++) {
                simulation.at(i * 7_000L, () -> {
                    FakeWorker worker = busy(simulation);
                    NODES.forEach(n -> simulation.cutOneWay(n, worker.name, Simulation.Cut.HOLD));
                    long seconds = 2 + simulation.random.nextInt(6);
                    simulation.at(
                            seconds * 1_000,
                            () -> NODES.forEach(n -> simulation.cutOneWay(n, worker.name, Simulation.Cut.NONE)));
                    busy(simulation).hang(seconds);
                    simulation.at(1_000, () -> cancelSome(simulation, 6));
                });
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void allControllersAreAwayForLongerThanALeaseWithCancellationsBefore(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 6, 2);
            longJob(simulation, "red", 6, 2);
            simulation.at(9_000, () -> assertTrue(cancelSome(simulation, 3) > 0));
            simulation.at(9_300, () -> NODES.forEach(n -> simulation.crashFor(n, 25)));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void moreWorkThanRoomUrgentAndNotOverSlowLinks(int seed) {
        day(seed, 700, simulation -> {
            simulation.cloud.capacity = 2;
            NODES.forEach(n -> simulation.slow(n, true));
            simulation.slow("state", true);
            for (int i = 0; i < 16; i++) {
                simulation.users.submit(jobOf(simulation, i)
                        .with("urgency", i % 3 == 0 ? "urgent" : i % 3 == 1 ? "standard" : "best_effort"));
            }
            simulation.at(20_000, () -> cancelSome(simulation, 4));
            simulation.at(60_000, () -> simulation.crashFor(leader(simulation), 5));
            simulation.at(200_000, () -> {
                NODES.forEach(n -> simulation.slow(n, false));
                simulation.slow("state", false);
            });
        });
    }

    /** The node inside leads or not; the workers inside stay with it while it may answer them. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(int seed) {
        for (boolean leaderInside : List.of(true, false)) {
            day(seed, 480, simulation -> {
                longJob(simulation, "blue", 8, 2);
                longJob(simulation, "red", 4, 2);
                simulation.at(14_000, () -> {
                    String inside = leaderInside
                            ? leader(simulation)
                            : NODES.stream()
                                    .filter(n -> !n.equals(leader(simulation)))
                                    .findFirst()
                                    .orElseThrow();
                    List<FakeWorker> zone = up(simulation).stream()
                            .filter(w -> w.zone.equals("a"))
                            .toList();
                    cutFromNodes(simulation, inside, "", Simulation.Cut.HOLD);
                    for (String other : List.of("state", "cloud", "users")) {
                        simulation.cut(inside, other, Simulation.Cut.HOLD);
                    }
                    zone.forEach(w -> cutFromNodes(simulation, w.name, inside, Simulation.Cut.HOLD));
                    simulation.at(6_000, () -> cancelSome(simulation, 3));
                    simulation.at(40_000, () -> {
                        cutFromNodes(simulation, inside, "", Simulation.Cut.NONE);
                        List.of("state", "cloud", "users").forEach(o -> simulation.cut(inside, o, Simulation.Cut.NONE));
                        zone.forEach(w -> cutFromNodes(simulation, w.name, inside, Simulation.Cut.NONE));
                    });
                });
            });
        }
    }

    /** Elections, submissions, cancellations, cycles and ends alike are carried out late, after newer ones. */
    @Test
    void transactionsAreCarriedOutLateAfterNewerOnes() {
        int[] late = new int[2];
        for (int seed : Seeds.each()) {
            day(seed, 460, simulation -> {
                simulation.store.lateWrites(0.25, 80);
                for (int i = 0; i < 8; i++) {
                    int n = i;
                    simulation.at(i * 6_000L, () -> simulation.users.submit(jobOf(simulation, n)));
                    simulation.at(i * 9_000L + 3_000, () -> cancelSome(simulation, 4));
                }
                simulation.at(20_000, () -> simulation.crashFor(leader(simulation), 0.3));
                simulation.at(45_000, () -> simulation.crashFor(leader(simulation), 6));
                simulation.at(120_000, () -> {
                    late[0] += simulation.store.late;
                    late[1] += simulation.store.lateApplied;
                });
            });
        }
        assertTrue(late[0] > 20 && late[1] > 0, "late " + late[0] + ", carried out " + late[1]);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void controllersHandOverAndBackAllEndAndOneReturnsWithinASecond(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 6, 2);
            longJob(simulation, "red", 4, 2);
            for (int i = 0; i < 4; i++) {
                simulation.at(i * 9_000L, () -> {
                    String first = leader(simulation);
                    simulation.freeze(first, 7);
                    simulation.at(6_000, () -> cancelSome(simulation, 6));
                });
            }
            simulation.at(40_000, () -> {
                NODES.forEach(simulation::crash);
                simulation.at(600, () -> simulation.startNode("node-1"));
                simulation.at(8_000, () -> simulation.startNode("node-0"));
                simulation.at(8_500, () -> simulation.crashFor("node-1", 0.2));
                simulation.at(14_000, () -> simulation.startNode("node-2"));
            });
        });
    }

    /** A mute machine renews nothing: its tasks end with its lease, and nobody may start them elsewhere before. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void machinesThatReachNoControllerStillTakeCommandsWhileJobsAreCancelled(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 8, 2);
            simulation.at(14_000, () -> {
                List<FakeWorker> some =
                        up(simulation).subList(0, Math.max(1, up(simulation).size() / 2));
                some.forEach(w -> simulation.mute(w.name, 30));
                simulation.at(1_000, () -> cancelSome(simulation, 2));
                simulation.at(9_000, () -> simulation.crashFor(leader(simulation), 5));
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void aReportIsHeldBackUntilANewLeaderHasActedAndThenArrivesThere(int seed) {
        day(seed, 420, simulation -> {
            longJob(simulation, "blue", 8, 2);
            longJob(simulation, "red", 4, 2);
            simulation.at(14_000, () -> {
                String next = NODES.stream()
                        .filter(n -> !n.equals(leader(simulation)))
                        .findFirst()
                        .orElseThrow();
                // What workers send there now arrives once it leads, with copies of what they say meanwhile.
                simulation.cutOneWay(Simulation.WORKERS, next, Simulation.Cut.HOLD);
                simulation.copyReports(40_000);
                simulation.crashFor(leader(simulation), 9);
                simulation.at(3_000, () -> busy(simulation).hang(20));
                simulation.at(
                        12_000 + simulation.random.nextInt(12_000),
                        () -> simulation.cutOneWay(Simulation.WORKERS, next, Simulation.Cut.NONE));
                simulation.at(7_000, () -> cancelSome(simulation, 3));
                simulation.at(45_000, () -> simulation.copyReports(0));
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void oldReportsOfEarlierSessionsAndAttemptsArriveAfterNewerOnes(int seed) {
        day(seed, 480, simulation -> {
            simulation.copyReports(50_000);
            longJob(simulation, "blue", 6, 2);
            longJob(simulation, "red", 4, 2);
            for (int i = 0; i < 5; i++) {
                simulation.at(8_000 + i * 13_000L, () -> {
                    busy(simulation).hang(18);
                    busy(simulation).dieAndBeBack(0.4);
                    cancelSome(simulation, 7);
                });
            }
            simulation.at(30_000, () -> simulation.crashFor(leader(simulation), 0.3));
            simulation.at(52_000, () -> simulation.crashFor(leader(simulation), 6));
            simulation.at(100_000, () -> simulation.copyReports(0));
        });
    }

    @Test
    void aCancellationAQuestionAndARepeatedSubmissionMeetTheEndOfAJob() {
        int[] met = new int[1];
        for (int seed : Seeds.each()) {
            day(seed, 260, simulation -> {
                simulation.users.cancelAtEnd(0.8, 100);
                for (int i = 0; i < 10; i++) {
                    int n = i;
                    simulation.at(i * 3_000L, () -> simulation.users.submit(jobOf(simulation, n)));
                }
                simulation.at(100_000, () -> met[0] += simulation.users.calledOffAtEnd);
            });
        }
        assertTrue(met[0] > 10, "met " + met[0]);
    }

    /** The burst comes within a fifth of a second, and the machines hang right after it. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void manyRunningJobsAreCalledOffAtOnceAndTheirMachinesHang(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedUsers.Job> jobs = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            jobs.add(simulation.users.submit(simulation.users.job(i % 2 == 0 ? "blue" : "red", "batch", 3, 1, 300)));
        }
        simulation.run(40);
        jobs.forEach(j -> simulation.at(simulation.random.nextInt(200), () -> simulation.users.cancel(j)));
        List<FakeWorker> hung = up(simulation).stream()
                .filter(w -> !w.tasks().isEmpty())
                .limit(8)
                .toList();
        assertFalse(hung.isEmpty());
        int hangS = 4 + simulation.random.nextInt(30);
        simulation.at(simulation.random.nextInt(400), () -> hung.forEach(w -> w.hang(hangS)));
        simulation.at(1_000, () -> simulation.crashFor(leader(simulation), 0.3));
        simulation.run(120);
        assertEquals(List.of(), simulation.invariants.broken(), "seed " + seed);
        jobs.forEach(j -> assertEquals("aborted", j.status()));
    }

    @Test
    void oddRequestsAreTurnedAwayForGoodAndRepeatsAreKnown() {
        Simulation simulation = new Simulation(11);
        simulation.run(6);
        SimulatedUsers.Job good = simulation.users.submit(simulation.users.job("blue", "batch", 2, 1, 20));
        List<SimulatedUsers.Job> odd = new ArrayList<>();
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
            odd.add(simulation.users.job("blue", "batch", 1, 1, 5).without(field));
        }
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("cores", "2"));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", -1));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("slips", 2.5));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("expectS", -3.0));
        odd.add(simulation.users.job("blue", "batch", 1, 40, 5));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("memGb", 1_000));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("accelerators", 1));
        odd.add(simulation.users.job("blue", "batch", 1, 1, 5).with("yard", "nowhere"));
        odd.add(simulation
                .users
                .job("blue", "batch", 1, 1, 5)
                .with("builds", Json.array().add("unheard-of")));
        odd.add(simulation.users.job("nobody", "batch", 1, 1, 5));
        odd.add(simulation.users.job("red", "group", 5, 8, 5));
        odd.add(simulation
                .users
                .job("blue", "group", 3, 1, 5)
                .with("samePlace", true)
                .with("scatter", true));
        odd.add(simulation.users.job("blue", "group", 3, 1, 5).with("yard", "a").with("scatter", true));
        odd.forEach(j -> simulation.users.submit(j.odd()));
        simulation.run(12);
        simulation.users.submit(good);
        simulation.run(60);
        assertEquals(List.of(), simulation.invariants.broken());
        odd.forEach(j -> assertTrue(j.refused(), j.jobId() + " was not turned away"));
        assertEquals("done", good.status());
        simulation.users.cancel(good);
        simulation.users.submit(good);
        simulation.run(5);
        assertEquals("done", good.status());
        assertEquals(List.of(), simulation.invariants.broken());
    }
}
