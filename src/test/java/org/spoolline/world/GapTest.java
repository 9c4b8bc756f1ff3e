package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.world.Days.SEEDS;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The leader alone is cut from news of cancellations that others confirm; then everybody is, for longer than cancel_s,
 * while workers go on reporting to it. The tasks must be gone within cancel_s of the confirmation all the same.
 */
class GapTest {
    /** Long jobs that run, and their leader. */
    private static final class Scene {
        final World world;
        final List<Users.Job> jobs = new ArrayList<>();
        final String leader;

        Scene(int seed) {
            world = new World(seed);
            world.run(3);
            for (int i = 0; i < 6; i++) {
                jobs.add(world.users.submit(world.users.job(i % 2 == 0 ? "blue" : "red", "batch", 4, 2, 400)));
            }
            world.run(40 + world.random.nextInt(3_000) / 1_000.0);
            leader = world.leader();
            assertTrue(running() > 0, "nothing runs");
        }

        private Stream<FakeWorker.Task> runningTasks() {
            return world.workers().values().stream()
                    .flatMap(w -> w.tasks().stream())
                    .filter(t -> t.phase.equals("running"));
        }

        long running() {
            return runningTasks().count();
        }

        long confirmedRunning() {
            return runningTasks()
                    .filter(t -> world.users.job(t.uid).status().equals("aborted"))
                    .count();
        }

        void cancelAll() {
            jobs.forEach(world.users::cancel);
        }

        long confirmed() {
            return jobs.stream().filter(j -> j.status().equals("aborted")).count();
        }

        void assertSomeConfirmed() {
            assertTrue(confirmed() > 0, "nothing was confirmed in the gap");
        }
    }

    /** Plays the troubles for so long, with several seeds: every cancellation is confirmed, and no rule breaks. */
    private static void play(double seconds, BiConsumer<Scene, World> troubles) {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            Scene scene = new Scene(seed);
            troubles.accept(scene, scene.world);
            scene.world.run(seconds);
            assertEquals(List.of(), scene.world.rules.broken(), "seed " + seed);
            assertEquals(scene.jobs.size(), scene.confirmed(), "seed " + seed);
        }
    }

    @Test
    void theLeaderAloneIsRefusedAndThenEverybodyForLongerThanACancellationMayTake() {
        gap(false);
    }

    /** A leader that a peer tells of the cancellation ends the tasks without having seen it in the state service. */
    @Test
    void aLeaderThatItsPeersReachEndsTheTasksInTheOutage() {
        gap(true);
    }

    private static void gap(boolean peersTalk) {
        play(160, (scene, world) -> {
            for (String node : world.nodes.keySet()) {
                if (!peersTalk && !node.equals(scene.leader)) {
                    world.cut(node, scene.leader, World.Cut.LOSE);
                }
            }
            world.state.refuse(scene.leader, 14);
            world.at(200, scene::cancelAll);
            world.at(2_600, () -> {
                scene.assertSomeConfirmed();
                assertTrue(peersTalk || scene.running() > 0, "nothing ran on");
                world.state.outage(65);
            });
            world.at(9_000, () -> assertEquals(peersTalk, scene.confirmedRunning() == 0, "running of those confirmed"));
            world.at(
                    10_000,
                    () -> assertTrue(
                            world.workers().values().stream()
                                    .anyMatch(w -> !w.dead() && w.reportsTo().equals(scene.leader)),
                            "nobody reports to the old leader"));
        });
    }

    /** Renewals got through while the watch was still: an old view kept its leadership and the workers' leases. */
    @Test
    void renewalsGetThroughButNoNewsOfCancellationsAndThenNothingDoes() {
        play(170, (scene, world) -> {
            world.state.loseWatches(scene.leader, 90);
            world.at(2_000, scene::cancelAll);
            // By then the confirmation is old; only the renewals of leadership are young.
            world.at(20_000, () -> {
                scene.assertSomeConfirmed();
                world.state.outage(65);
            });
        });
    }

    /** No spell may set the clock of an earlier confirmation anew, also not by a renewal between two of them. */
    @Test
    void severalSpellsInARowWithRenewalsBetween() {
        play(200, (scene, world) -> {
            world.state.loseWatches(scene.leader, 120);
            world.at(300, scene::cancelAll);
            for (int i = 0; i < 6; i++) {
                world.at(2_500 + i * 17_000L, () -> {
                    world.state.refuse(scene.leader, 2);
                    world.at(1_500, () -> world.state.outage(14));
                });
            }
            world.at(2_500, scene::assertSomeConfirmed);
        });
    }

    /** Each new leader once renewed the leases of whoever reported before it had read which jobs are cancelled. */
    @Test
    void leadersThatReadNothingFollowOneAnother() {
        play(220, (scene, world) -> {
            world.state.refuseListings(100);
            world.crashFor(scene.leader, 0.3);
            world.at(100, scene::cancelAll);
            world.at(6_000, scene::assertSomeConfirmed);
            for (int i = 1; i <= 10; i++) {
                world.at(i * 9_000L, () -> world.crashFor(Days.leader(world), 0.3));
            }
        });
    }
}
