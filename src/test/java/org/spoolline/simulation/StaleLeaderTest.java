package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The leader alone does not learn of cancellations that other controllers confirm; then the key-value store is down for
 * longer than cancel_s, while workers keep sending heartbeats to that leader. The tasks must still terminate within
 * cancel_s of the confirmation.
 */
class StaleLeaderTest {
    /** Long-running jobs and their leader. */
    private static final class Scene {
        final Simulation simulation;
        final List<SimulatedUsers.Job> jobs = new ArrayList<>();
        final String leader;

        Scene(int seed) {
            simulation = new Simulation(seed);
            simulation.run(3);
            for (int i = 0; i < 6; i++) {
                jobs.add(
                        simulation.users.submit(simulation.users.job(i % 2 == 0 ? "blue" : "red", "batch", 4, 2, 400)));
            }
            simulation.run(40 + simulation.random.nextInt(3_000) / 1_000.0);
            leader = simulation.leader();
            assertTrue(running() > 0, "expected running tasks");
        }

        private Stream<FakeWorker.Task> runningTasks() {
            return simulation.workers().values().stream()
                    .flatMap(w -> w.tasks().stream())
                    .filter(t -> t.phase.equals("running"));
        }

        long running() {
            return runningTasks().count();
        }

        long confirmedRunning() {
            return runningTasks()
                    .filter(t -> simulation.users.job(t.jobId).status().equals("aborted"))
                    .count();
        }

        void cancelAll() {
            jobs.forEach(simulation.users::cancel);
        }

        long confirmed() {
            return jobs.stream().filter(j -> j.status().equals("aborted")).count();
        }

        void assertSomeConfirmed() {
            assertTrue(confirmed() > 0, "expected a cancellation confirmed while the leader alone is rejected");
        }
    }

    /** Injects faults and runs on: every cancellation is confirmed and no invariant is violated. */
    private static void play(int seed, double seconds, BiConsumer<Scene, Simulation> troubles) {
        Scene scene = new Scene(seed);
        troubles.accept(scene, scene.simulation);
        scene.simulation.run(seconds);
        assertEquals(List.of(), scene.simulation.invariants.broken(), "seed " + seed);
        assertEquals(scene.jobs.size(), scene.confirmed(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void storeRejectsLeaderThenAllBeyondCancelBound(int seed) {
        gap(seed, false);
    }

    /** A leader that learns of the cancellation from a peer ends the tasks without reading it from the key-value store. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void leaderReachedByPeersEndsTasksDuringOutage(int seed) {
        gap(seed, true);
    }

    private static void gap(int seed, boolean peersTalk) {
        play(seed, 160, (scene, simulation) -> {
            for (String node : simulation.nodes.keySet()) {
                if (!peersTalk && !node.equals(scene.leader)) {
                    simulation.cut(node, scene.leader, Simulation.Cut.LOSE);
                }
            }
            simulation.store.refuse(scene.leader, 14);
            simulation.at(200, scene::cancelAll);
            simulation.at(2_600, () -> {
                scene.assertSomeConfirmed();
                assertTrue(peersTalk || scene.running() > 0, "expected tasks to run on");
                simulation.store.outage(65);
            });
            simulation.at(
                    9_000,
                    () -> assertEquals(
                            peersTalk,
                            scene.confirmedRunning() == 0,
                            "whether no task of a confirmed cancellation runs"));
            simulation.at(
                    10_000,
                    () -> assertTrue(
                            simulation.workers().values().stream()
                                    .anyMatch(w -> !w.dead() && w.reportsTo().equals(scene.leader)),
                            "expected a worker whose heartbeats still go to the old leader"));
        });
    }

    /** Leadership renewals succeed while watch responses are lost: a stale view must not renew the workers' leases. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void renewalsSucceedWhileWatchesAreLostThenOutage(int seed) {
        play(seed, 170, (scene, simulation) -> {
            simulation.store.loseWatches(scene.leader, 90);
            simulation.at(2_000, scene::cancelAll);
            // By then the confirmation is old; only the leadership renewals are recent.
            simulation.at(20_000, () -> {
                scene.assertSomeConfirmed();
                simulation.store.outage(65);
            });
        });
    }

    /** No outage may restart the bound of an earlier confirmation, nor may a renewal between two outages. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void repeatedOutagesWithRenewalsBetween(int seed) {
        play(seed, 200, (scene, simulation) -> {
            simulation.store.loseWatches(scene.leader, 120);
            simulation.at(300, scene::cancelAll);
            for (int i = 0; i < 6; i++) {
                simulation.at(2_500 + i * 17_000L, () -> {
                    simulation.store.refuse(scene.leader, 2);
                    simulation.at(1_500, () -> simulation.store.outage(14));
                });
            }
            simulation.at(2_500, scene::assertSomeConfirmed);
        });
    }

    /** A new leader must not renew worker leases before it has read which jobs are cancelled. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void successiveLeadersCannotListJobs(int seed) {
        play(seed, 220, (scene, simulation) -> {
            simulation.store.refuseListings(100);
            simulation.crashFor(scene.leader, 0.3);
            simulation.at(100, scene::cancelAll);
            simulation.at(6_000, scene::assertSomeConfirmed);
            for (int i = 1; i <= 10; i++) {
                simulation.at(i * 9_000L, () -> simulation.crashFor(Workloads.leader(simulation), 0.3));
            }
        });
    }
}
