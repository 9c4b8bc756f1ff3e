package org.spoolline.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** What the stories share: a mixed load, its machines and its leader. */
final class Days {
    private Days() {}

    static final int SEEDS = Integer.getInteger("stories.seeds", 4);

    /** Seconds without trouble at the end of each day. */
    static final double CALM_S = 150;

    interface Trouble {
        void strike(World world);
    }

    /** A mixed load, trouble at 40 s, and enough time to recover; every job must end and no rule may break. */
    static void day(double seconds, Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            World world = new World(seed);
            List<Users.Job> jobs = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                int n = i;
                world.at(3_000 + i * 5_000L, () -> jobs.add(world.users.submit(jobOf(world, n))));
            }
            world.run(40);
            trouble.strike(world);
            world.at((long) (1_000 * Math.max(0, seconds - CALM_S)), world.rules::troublesAreOver);
            world.run(seconds);
            world.rules.dayIsOver();
            assertEquals(List.of(), world.rules.broken(), "seed " + seed);
            for (Users.Job job : jobs) {
                assertTrue(
                        job.status().equals("done") || job.status().equals("aborted"),
                        "seed " + seed + ": " + job.uid() + " is " + job.status());
            }
            assertTrue(world.rules.starts() > 0);
        }
    }

    /** The end of a day on which nobody cancels. */
    static void everyJobIsDone(World world, int seed) {
        world.rules.dayIsOver();
        assertEquals(List.of(), world.rules.broken(), "seed " + seed);
        for (Users.Job job : world.users.jobs()) {
            assertEquals("done", job.status(), "seed " + seed + ": " + job.uid());
        }
    }

    static Users.Job jobOf(World world, int n) {
        return switch (n % 4) {
            case 0 -> world.users.job("blue", "batch", 12, 1, 15);
            case 1 -> world.users.job("red", "group", 2, 7, 20).with("samePlace", true);
            case 2 -> world.users
                    .job("red", "batch", 5, 2, 25)
                    .with("bookmarkS", 5.0)
                    .with("stashS", 1.0);
            default -> world.users.job("blue", "batch", 7, 2, 10).with("scatter", true);
        };
    }

    static String leader(World world) {
        return world.leader() == null ? "node-0" : world.leader();
    }

    static FakeWorker busy(World world) {
        return world.workers().values().stream()
                .filter(w -> !w.dead() && !w.tasks().isEmpty())
                .findFirst()
                .orElseGet(() -> world.workers().values().iterator().next());
    }
}
