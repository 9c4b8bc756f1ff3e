package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.ConcurrentFaults.cancelEveryNth;
import static org.spoolline.simulation.ConcurrentFaults.liveWorkers;
import static org.spoolline.simulation.ConcurrentFaults.setLinksToControllers;
import static org.spoolline.simulation.ConcurrentFaults.submitLongJob;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.assertEveryJobDone;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;
import static org.spoolline.simulation.Workloads.runScenario;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The leader changes while a second fault is present. docs/concurrent-failures.md lists the combinations. */
class ConcurrentLeaderFailuresTest {
    /** The leader crashes every 10 s, the key-value store is down for 15 s, and users cancel jobs meanwhile. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void tenLeaderChangesInTwoMinutesWithAnOutage(int seed) {
        runScenario(seed, 520, simulation -> {
            long tokenBefore = simulation.store.value("token").path("n").asLong();
            for (int i = 0; i < 6; i++) {
                submitLongJob(simulation, i % 2 == 0 ? "blue" : "red", 3, 2);
            }
            for (int i = 0; i < 12; i++) {
                // The downtime of 0.1 to 8 s is shorter or longer than the lease of the leader key, so that either the
                // same controller or another one is elected.
                simulation.at(
                        i * 10_000L,
                        () -> simulation.controllers.crashFor(
                                leader(simulation), simulation.random.nextInt(80) / 10.0 + 0.1));
                simulation.at(i * 10_000L + simulation.random.nextInt(6_000), () -> cancelEveryNth(simulation, 5));
            }
            simulation.at(50_000, () -> simulation.store.outage(15));
            simulation.at(
                    125_000,
                    () -> assertTrue(
                            simulation.store.value("token").path("n").asLong() >= tokenBefore + 9,
                            "expected at least 9 leader changes"));
        });
    }

    /**
     * The key-value store is slow, rejects first the requests of the leader and then all requests, and users cancel
     * jobs meanwhile.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void slowStoreRejectsLeaderThenAllDuringCancellations(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 6, 2);
            submitLongJob(simulation, "red", 4, 2);
            simulation.network.slowDown(Network.KEY_VALUE_STORE);
            String leader = leader(simulation);
            simulation.at(8_000, () -> simulation.store.rejectHost(leader, 14));
            simulation.at(8_500, () -> assertTrue(cancelEveryNth(simulation, 2) > 0));
            simulation.at(10_000, () -> simulation.store.outage(55));
            simulation.at(30_000, () -> cancelEveryNth(simulation, 2));
            simulation.at(90_000, () -> simulation.network.restoreSpeed(Network.KEY_VALUE_STORE));
        });
    }

    /**
     * A new leader must count attempts on unreachable machines against the team's quota until their termination is
     * proven. The leader crashes while the team is at its quota, the links of two machines are delayed, and two jobs
     * are cancelled.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void quotaHoldsAcrossLeaderChangeWithUnreachableWorkers(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            jobs.add(submitLongJob(simulation, "red", 8, 2));
        }
        simulation.run(40);
        double redTeamCores = liveWorkers(simulation).stream()
                        .flatMap(w -> w.tasks().stream())
                        .filter(SimulatedTask::isAlive)
                        .count()
                * 2.0;
        assertEquals(32, redTeamCores, "seed " + seed + ": expected the team at its quota of 32 cores");
        simulation.controllers.crashFor(leader(simulation), 7);
        for (FakeWorker worker : liveWorkers(simulation).subList(0, 2)) {
            setLinksToControllers(simulation, worker.name, LinkState.DELAYED);
            simulation.at(
                    11_000 + simulation.random.nextInt(14_000),
                    () -> setLinksToControllers(simulation, worker.name, LinkState.CONNECTED));
        }
        simulation.at(simulation.random.nextInt(12_000), () -> simulation.users.cancel(jobs.get(0)));
        simulation.at(simulation.random.nextInt(12_000), () -> simulation.users.cancel(jobs.get(1)));
        simulation.at(60_000, simulation.invariants::faultsEnded);
        simulation.run(520);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : jobs) {
            assertTrue(List.of("done", "aborted").contains(job.status()), "seed " + seed + ": " + job.jobId());
        }
    }

    /**
     * The leader loses its links to the other controllers and the key-value store, but still answers workers. Jobs that
     * users then cancel through the new leader must still terminate in time.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void isolatedLeaderKeepsWorkersWhileNewLeaderCancels(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            jobs.add(submitLongJob(simulation, i % 2 == 0 ? "blue" : "red", 4, 2));
        }
        simulation.run(40);
        String isolatedLeader = leader(simulation);
        setLinksToControllers(simulation, isolatedLeader, LinkState.LOST);
        simulation.network.setLink(isolatedLeader, Network.KEY_VALUE_STORE, LinkState.LOST);
        simulation.at(7_000, () -> {
            assertFalse(isolatedLeader.equals(simulation.leader()), "expected a new leader");
            jobs.subList(0, 3).forEach(simulation.users::cancel);
        });
        simulation.at(70_000, () -> {
            setLinksToControllers(simulation, isolatedLeader, LinkState.CONNECTED);
            simulation.network.setLink(isolatedLeader, Network.KEY_VALUE_STORE, LinkState.CONNECTED);
            simulation.invariants.faultsEnded();
        });
        simulation.run(330);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (int i = 0; i < jobs.size(); i++) {
            assertEquals(i < 3 ? "aborted" : "done", jobs.get(i).status(), "seed " + seed);
        }
    }

    /**
     * A third of the workers has delayed links to the controllers, and another third receives nothing from them, when
     * the leader crashes.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesWhileWorkersAreUnreachable(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 8, 2);
            submitLongJob(simulation, "red", 6, 2);
            simulation.at(14_000, () -> {
                String leader = leader(simulation);
                List<FakeWorker> workers = liveWorkers(simulation);
                for (int i = 0; i < workers.size(); i++) {
                    String worker = workers.get(i).name;
                    if (i % 3 == 0) {
                        setLinksToControllers(simulation, worker, LinkState.DELAYED);
                        simulation.at(30_000, () -> setLinksToControllers(simulation, worker, LinkState.CONNECTED));
                    } else if (i % 3 == 1) {
                        NODES.forEach(n -> simulation.network.setOneWay(n, worker, LinkState.LOST));
                        simulation.at(
                                35_000,
                                () -> NODES.forEach(n -> simulation.network.setOneWay(n, worker, LinkState.CONNECTED)));
                    }
                }
                simulation.controllers.crashFor(leader, 6);
                simulation.at(4_000, () -> cancelEveryNth(simulation, 3));
            });
        });
    }

    /**
     * A new leader must count a completion that the previous leader has acknowledged exactly once. Leaders crash while
     * jobs are partly complete, and the responses to two commits are lost.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void completionsAreCountedOnceAcrossLeaderChanges(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        List<SimulatedJob> jobs = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            jobs.add(simulation.users.submit(simulation
                    .users
                    .job(i % 2 == 0 ? "blue" : "red", "batch", 2 + i % 2, 2, 8 + i)
                    .withRunTimeStepMs(14_000)));
        }
        for (int i = 0; i < 60 && !anyJobPartlyComplete(simulation, jobs); i++) {
            simulation.run(1);
        }
        assertTrue(anyJobPartlyComplete(simulation, jobs), "seed " + seed + ": expected a partly completed job");
        simulation.store.commitResponsesToLose = 2;
        simulation.controllers.crashFor(leader(simulation), 0.2);
        simulation.at(9_000, () -> simulation.controllers.crashFor(leader(simulation), 6));
        simulation.at(18_000, () -> simulation.controllers.crashFor(leader(simulation), 0.2));
        simulation.run(60);
        simulation.invariants.faultsEnded();
        simulation.run(160);
        assertEveryJobDone(simulation, seed);
    }

    private static boolean anyJobPartlyComplete(Simulation simulation, List<SimulatedJob> jobs) {
        return jobs.stream().anyMatch(j -> simulation.invariants.completedCount(j.jobId()) % j.tasks() != 0);
    }

    /** All controllers crash right after cancellations and stay down for longer than the worker lease. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void allControllersDownBeyondWorkerLeaseAfterCancellations(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 6, 2);
            submitLongJob(simulation, "red", 6, 2);
            simulation.at(9_000, () -> assertTrue(cancelEveryNth(simulation, 3) > 0));
            simulation.at(9_300, () -> NODES.forEach(n -> simulation.controllers.crashFor(n, 25)));
        });
    }

    /**
     * A quarter of the commits of elections, submissions, cancellations, scheduling cycles and completions get no
     * response and reach the key-value store late, after newer commits.
     */
    @Test
    void commitsAreAppliedAfterNewerOnes() {
        int[] delayedAndApplied = new int[2];
        for (int seed : Seeds.each()) {
            runScenario(seed, 460, simulation -> {
                simulation.store.delayCommits(0.25, 80);
                for (int i = 0; i < 8; i++) {
                    int n = i;
                    simulation.at(i * 6_000L, () -> simulation.users.submit(mixedJob(simulation, n)));
                    simulation.at(i * 9_000L + 3_000, () -> cancelEveryNth(simulation, 4));
                }
                simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), 0.3));
                simulation.at(45_000, () -> simulation.controllers.crashFor(leader(simulation), 6));
                simulation.at(120_000, () -> {
                    delayedAndApplied[0] += simulation.store.delayedCommits();
                    delayedAndApplied[1] += simulation.store.delayedCommitsApplied();
                });
            });
        }
        assertTrue(
                delayedAndApplied[0] > 20 && delayedAndApplied[1] > 0,
                "expected more than 20 delayed commits, and at least one of them applied: delayed "
                        + delayedAndApplied[0] + ", applied " + delayedAndApplied[1]);
    }

    /** The current leader stalls four times; then all controllers crash and restart at different times. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void controllersStallInTurnThenAllCrash(int seed) {
        runScenario(seed, 420, simulation -> {
            submitLongJob(simulation, "blue", 6, 2);
            submitLongJob(simulation, "red", 4, 2);
            for (int i = 0; i < 4; i++) {
                simulation.at(i * 9_000L, () -> {
                    String leader = leader(simulation);
                    simulation.controllers.stall(leader, 7);
                    simulation.at(6_000, () -> cancelEveryNth(simulation, 6));
                });
            }
            simulation.at(40_000, () -> {
                NODES.forEach(simulation.controllers::crash);
                simulation.at(600, () -> simulation.controllers.start("node-1"));
                simulation.at(8_000, () -> simulation.controllers.start("node-0"));
                simulation.at(8_500, () -> simulation.controllers.crashFor("node-1", 0.2));
                simulation.at(14_000, () -> simulation.controllers.start("node-2"));
            });
        });
    }
}
