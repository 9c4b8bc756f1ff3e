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
 * The leader alone is cut from news of cancellations that others confirm; then everybody is, for longer than cancel_s,
 * while workers go on reporting to it. The tasks must be gone within cancel_s of the confirmation all the same.
 */
class LeaderAloneRefusedTest {
    /** Long jobs that run, and their leader. */
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
            assertTrue(running() > 0, "nothing runs");
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
            assertTrue(confirmed() > 0, "nothing was confirmed in the gap");
        }
    }

    /** Plays the troubles for so long, with several seeds: every cancellation is confirmed, and no rule breaks. */
    private static void play(int seed, double seconds, BiConsumer<Scene, Simulation> troubles) {
        Scene scene = new Scene(seed);
        troubles.accept(scene, scene.simulation);
        scene.simulation.run(seconds);
        assertEquals(List.of(), scene.simulation.invariants.broken(), "seed " + seed);
        assertEquals(scene.jobs.size(), scene.confirmed(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void theLeaderAloneIsRefusedAndThenEverybodyForLongerThanACancellationMayTake(int seed) {
        gap(seed, false);
    }

    /** A leader that a peer tells of the cancellation ends the tasks without having seen it in the state service. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void aLeaderThatItsPeersReachEndsTheTasksInTheOutage(int seed) {
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
                assertTrue(peersTalk || scene.running() > 0, "nothing ran on");
                simulation.store.outage(65);
            });
            simulation.at(
                    9_000, () -> assertEquals(peersTalk, scene.confirmedRunning() == 0, "running of those confirmed"));
            simulation.at(
                    10_000,
                    () -> assertTrue(
                            simulation.workers().values().stream()
                                    .anyMatch(w -> !w.dead() && w.reportsTo().equals(scene.leader)),
                            "nobody reports to the old leader"));
        });
    }

    /** Renewals got through while the watch was still: an old view kept its leadership and the workers' leases. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void renewalsGetThroughButNoNewsOfCancellationsAndThenNothingDoes(int seed) {
        play(seed, 170, (scene, simulation) -> {
            simulation.store.loseWatches(scene.leader, 90);
            simulation.at(2_000, scene::cancelAll);
            // By then the confirmation is old; only the renewals of leadership are young.
            simulation.at(20_000, () -> {
                scene.assertSomeConfirmed();
                simulation.store.outage(65);
            });
        });
    }

    /** No spell may set the clock of an earlier confirmation anew, also not by a renewal between two of them. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void severalSpellsInARowWithRenewalsBetween(int seed) {
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

    /** Each new leader once renewed the leases of whoever reported before it had read which jobs are cancelled. */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void leadersThatReadNothingFollowOneAnother(int seed) {
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
