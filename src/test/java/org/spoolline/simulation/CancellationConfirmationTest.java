package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.ConcurrentFaults.setLinksToControllers;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against launches that are ordered after a user was told that the job is cancelled. Such a launch came from a
 * leader that still held its lease but had not heard of the cancellation, which another controller had committed and
 * confirmed on its own. In each scenario some attempts are stored but not launched yet when the leader stops hearing
 * of changes and users cancel their jobs.
 */
class CancellationConfirmationTest {
    /** Injects the fault and cancels all jobs at the same time. */
    private static void runScenario(int seed, Consumer<PlacedJobs> fault) {
        runScenarioWithOwnCancellations(seed, placed -> {
            fault.accept(placed);
            placed.cancelAll();
        });
    }

    /** Each cancellation is confirmed in the end, and no invariant is violated. */
    private static void runScenarioWithOwnCancellations(int seed, Consumer<PlacedJobs> events) {
        PlacedJobs placed = new PlacedJobs(seed);
        Simulation simulation = placed.simulation;
        assertTrue(
                placed.placedButNotLaunched() > 0, "seed " + seed + ": expected attempts that wait for their launch");
        events.accept(placed);
        simulation.run(90);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        for (SimulatedJob job : placed.jobs) {
            assertEquals("aborted", job.status(), "seed " + seed + ": " + job.jobId());
        }
    }

    /** Runs the action when another node than the given one is the leader. */
    private static void onNextLeader(Simulation simulation, String formerLeader, Runnable action) {
        String leader = simulation.leader();
        if (leader != null && !leader.equals(formerLeader)) {
            action.run();
        } else {
            simulation.at(1, () -> onNextLeader(simulation, formerLeader, action));
        }
    }

    private static void setLinksToLeader(PlacedJobs placed, LinkState state) {
        for (String worker : placed.simulation.workers().keySet()) {
            placed.simulation.network.setOneWay(worker, placed.leader, state);
        }
    }

    private static void isolateLeader(PlacedJobs placed) {
        setLinksToControllers(placed.simulation, placed.leader, LinkState.LOST);
        placed.simulation.network.setLink(placed.leader, Network.KEY_VALUE_STORE, LinkState.LOST);
    }

    /** The case of the review: the leader is cut from the key-value store and from its peers, not from its workers. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void isolatedLeaderLaunchesNoTaskOfConfirmedCancellation(int seed) {
        runScenario(seed, CancellationConfirmationTest::isolateLeader);
    }

    /**
     * A report of the state is a confirmation too: answers to repeated submissions and to polls, at all controllers,
     * may say that a job is cancelled only once no leader launches its tasks.
     */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void isolatedLeaderLaunchesNoTaskOfJobReportedAsCancelled(int seed) {
        runScenario(seed, placed -> {
            isolateLeader(placed);
            placed.submitAllAgainRepeatedly();
        });
    }

    /** As before, but the leader orders the launches seconds later, since the workers' heartbeats are held back. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void isolatedLeaderThatReceivesHeartbeatsLateLaunchesNoTaskOfJobReportedAsCancelled(int seed) {
        runScenario(seed, placed -> {
            Simulation simulation = placed.simulation;
            isolateLeader(placed);
            placed.submitAllAgainRepeatedly();
            setLinksToLeader(placed, LinkState.DELAYED);
            simulation.at(2_600 + simulation.random.nextInt(800), () -> setLinksToLeader(placed, LinkState.CONNECTED));
        });
    }

    /** The leader renews its lease throughout, but no watch response and no message of a peer reaches it. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void leaderWithValidLeaseAndStaleViewLaunchesNoTaskOfConfirmedCancellation(int seed) {
        runScenario(seed, placed -> {
            setLinksToControllers(placed.simulation, placed.leader, LinkState.LOST);
            placed.simulation.store.loseWatchResponses(placed.leader, 30);
        });
    }

    /** The leader's process stands still, and then goes on with the heartbeats that have come meanwhile. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void stalledLeaderLaunchesNoTaskOfConfirmedCancellation(int seed) {
        runScenario(seed, placed -> placed.simulation.controllers.stall(placed.leader, 2.5));
    }

    /** The leader is isolated and the key-value store rejects every request soon after the cancellations. */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void isolatedLeaderLaunchesNoTaskOfConfirmedCancellationBeforeOutage(int seed) {
        runScenario(seed, placed -> {
            isolateLeader(placed);
            placed.simulation.at(1_500, () -> placed.simulation.store.outage(20));
        });
    }

    /**
     * A new leader requests the jobs, a cancellation is committed, the leader hears of that, and only then receives the
     * jobs as they were before. It must not acknowledge what it can't apply to any job yet.
     */
    @ParameterizedTest
    @MethodSource(Seeds.THREE_TIMES_AS_MANY)
    void leaderThatIsReadingTheJobsLaunchesNoTaskOfConfirmedCancellation(int seed) {
        runScenarioWithOwnCancellations(seed, placed -> {
            Simulation simulation = placed.simulation;
            simulation.controllers.crashFor(placed.leader, 30);
            onNextLeader(simulation, placed.leader, () -> {
                String leader = simulation.leader();
                simulation.network.slowDown(leader);
                simulation.at(simulation.random.nextInt(100), placed::cancelAll);
                simulation.at(10_000, () -> simulation.network.restoreSpeed(leader));
            });
        });
    }
}
