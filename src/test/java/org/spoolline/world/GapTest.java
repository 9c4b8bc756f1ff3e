package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.world.Days.SEEDS;

import java.util.ArrayList;
import java.util.List;
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

        long running() {
            return world.workers().values().stream().flatMap(w -> w.tasks().stream()).filter(t -> t.phase.equals("running"))
                    .count();
        }

        long confirmedRunning() {
            return world.workers().values().stream().flatMap(w -> w.tasks().stream())
                    .filter(t -> t.phase.equals("running") && world.users.job(t.uid).status().equals("aborted")).count();
        }

        void cancelAll() {
            jobs.forEach(world.users::cancel);
        }

        long confirmed() {
            return jobs.stream().filter(j -> j.status().equals("aborted")).count();
        }

        void keepsTheRules(int seed) {
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            assertEquals(jobs.size(), confirmed(), "seed " + seed);
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
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            Scene scene = new Scene(seed);
            World world = scene.world;
            for (String node : world.nodes.keySet()) {
                if (!peersTalk && !node.equals(scene.leader)) {
                    world.cut(node, scene.leader, World.Cut.LOSE);
                }
            }
            world.state.refuse(scene.leader, 14);
            world.at(200, scene::cancelAll);
            world.at(2_600, () -> {
                assertTrue(scene.confirmed() > 0, "nothing was confirmed in the gap");
                assertTrue(peersTalk || scene.running() > 0, "nothing ran on");
                world.state.outage(65);
            });
            world.at(9_000, () -> assertEquals(peersTalk, scene.confirmedRunning() == 0, "running of those confirmed"));
            world.at(10_000, () -> assertTrue(world.workers().values().stream().anyMatch(w -> !w.dead()
                    && w.reportsTo().equals(scene.leader)), "nobody reports to the old leader"));
            world.run(160);
            scene.keepsTheRules(seed);
        }
    }

    /** Renewals got through while the watch was still: an old view kept its leadership and the workers' leases. */
    @Test
    void renewalsGetThroughButNoNewsOfCancellationsAndThenNothingDoes() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            Scene scene = new Scene(seed);
            World world = scene.world;
            world.state.loseWatches(scene.leader, 90);
            world.at(2_000, scene::cancelAll);
            // By then the confirmation is old; only the renewals of leadership are young.
            world.at(20_000, () -> {
                assertTrue(scene.confirmed() > 0, "nothing was confirmed in the gap");
                world.state.outage(65);
            });
            world.run(170);
            scene.keepsTheRules(seed);
        }
    }

    /** No spell may set the clock of an earlier confirmation anew, also not by a renewal between two of them. */
    @Test
    void severalSpellsInARowWithRenewalsBetween() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            Scene scene = new Scene(seed);
            World world = scene.world;
            world.state.loseWatches(scene.leader, 120);
            world.at(300, scene::cancelAll);
            for (int i = 0; i < 6; i++) {
                world.at(2_500 + i * 17_000L, () -> {
                    world.state.refuse(scene.leader, 2);
                    world.at(1_500, () -> world.state.outage(14));
                });
            }
            world.at(2_500, () -> assertTrue(scene.confirmed() > 0, "nothing was confirmed in the gap"));
            world.run(200);
            scene.keepsTheRules(seed);
        }
    }

    /** Each new leader once renewed the leases of whoever reported before it had read which jobs are cancelled. */
    @Test
    void leadersThatReadNothingFollowOneAnother() {
        for (int seed = 1; seed <= 2 * SEEDS; seed++) {
            Scene scene = new Scene(seed);
            World world = scene.world;
            world.state.refuseListings(100);
            world.crashFor(scene.leader, 0.3);
            world.at(100, scene::cancelAll);
            world.at(6_000, () -> assertTrue(scene.confirmed() > 0, "nothing was confirmed"));
            for (int i = 1; i <= 10; i++) {
                world.at(i * 9_000L, () -> world.crashFor(Days.leader(world), 0.3));
            }
            world.run(220);
            scene.keepsTheRules(seed);
        }
    }
}
