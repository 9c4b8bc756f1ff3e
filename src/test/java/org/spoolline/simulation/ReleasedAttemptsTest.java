package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.metrics.Event;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SubmissionCodec;

/**
 * Once a leader decides that an attempt has ended, it counts the capacity of this released attempt as free, although
 * the attempt is still stored until a write removes it. Neither this leader nor the next one may launch a released
 * attempt in addition to the attempts that were placed in its capacity.
 */
class ReleasedAttemptsTest {
    private static final int WRITES_PER_S = 12;
    private static final int TEAM_SCALE = 4;

    /** Submits array jobs that save checkpoints, and critical gangs that preempt them. */
    private static void submitCompetingJobs(Simulation simulation) {
        for (int i = 0; i < 50; i++) {
            int tasks = 2 + i % 3;
            simulation.at(i * 1_500L, () -> {
                simulation.users.submit(array(simulation, "red", 10, 2, 12));
                simulation.users.submit(array(simulation, "blue", 12, 1, 8));
            });
            simulation.at(i * 1_500L + 700, () -> {
                String team = tasks == 2 ? "red" : "blue";
                simulation.users.submit(
                        simulation.users.job(team, "group", tasks, 5, 8).with("urgency", "critical"));
            });
        }
    }

    private static SimulatedJob array(Simulation simulation, String team, int tasks, double cores, double runS) {
        return simulation
                .users
                .job(team, "batch", tasks, cores, runS)
                .with("bookmarkS", 4.0)
                .with("stashS", 1.0);
    }

    /**
     * Tasks are preempted before their launch, and the write that records the release of their attempts is deferred,
     * because the rate limit of writes is reached.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void preemptedAttemptsWhoseReleaseIsDeferredAreNotLaunched(int seed) {
        Simulation simulation = new Simulation(seed, TEAM_SCALE);
        simulation.controllers.limitWrites(WRITES_PER_S);
        simulation.cloud.capacity = 2;
        simulation.run(3);
        submitCompetingJobs(simulation);
        simulation.run(130);
        assertTrue(simulation.controllers.countOnAll(Event.ATTEMPT_RELEASED) > 0, "expected attempts to be released");
        assertTrue(simulation.controllers.countOnAll(Event.WRITE_DEFERRED) > 0, "expected writes to be deferred");
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals(0, simulation.controllers.countOnAll(Event.LAUNCH_OF_RELEASED_ATTEMPT), "seed " + seed);
        assertEquals(
                0,
                simulation.controllers.countOnAll(Event.LAUNCH_WITHHELD_TEAM_LIMIT),
                "expected no launch to be withheld, since the leader places tasks within the limit");
    }

    /**
     * A leader has stored attempts in the capacity of released attempts, and crashes before it has stored the release.
     * Both jobs together exceed the team's limit of 32 cores. All attempts are on idle machines and not launched yet.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void newLeaderLaunchesNothingBeyondTheLimit(int seed) {
        Simulation simulation = new Simulation(seed);
        simulation.run(3);
        simulation.users.submit(simulation.users.job("blue", "batch", 8, 7, 12));
        simulation.run(30);
        List<FakeWorker> idle = simulation.workers().values().stream()
                .filter(worker -> worker.isSchedulable() && worker.tasks().isEmpty())
                .toList();
        assertTrue(idle.size() >= 8, "expected idle machines, found " + idle.size());
        simulation.controllers.crashFor(leader(simulation), 8);
        SimulatedJob releasedJob = storeWithAttempts(simulation, idle.subList(0, 4));
        SimulatedJob replacementJob = storeWithAttempts(simulation, idle.subList(4, 8));
        simulation.run(20);
        assertTrue(
                simulation.controllers.countOnAll(Event.LAUNCH_WITHHELD_TEAM_LIMIT) > 0,
                "expected the new leader to withhold launches of a team over its limit");
        simulation.run(150);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals("done", releasedJob.status(), "seed " + seed);
        assertEquals("done", replacementJob.status(), "seed " + seed);
    }

    /**
     * Stores an accepted job of team red with an attempt on each of the machines, and submits it so that its user polls
     * it.
     */
    private static SimulatedJob storeWithAttempts(Simulation simulation, List<FakeWorker> machines) {
        SimulatedJob job = simulation.users.job("red", "batch", machines.size(), 7, 15);
        Pipeline pipeline = accept(job, simulation.now());
        for (int task = 0; task < machines.size(); task++) {
            FakeWorker machine = machines.get(task);
            pipeline.addAttempt(new Attempt(task, pipeline.nextAttemptNumber(), machine.name, machine.incarnation()));
        }
        simulation.store.put("job/" + job.jobId(), pipeline.encode());
        return simulation.users.submit(job);
    }

    private static Pipeline accept(SimulatedJob job, long now) {
        try {
            return Pipeline.accept(SubmissionCodec.parse(job.body()), job.body(), Simulation.START_OF_DAY + now);
        } catch (SubmissionCodec.Malformed e) {
            throw new AssertionError(e);
        }
    }
}
