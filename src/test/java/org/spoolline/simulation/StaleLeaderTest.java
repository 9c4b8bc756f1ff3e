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
 * The leader's view of the jobs is stale: it lacks cancellations that other controllers have committed. Then
 * the key-value store is down for longer than cancel_s, while workers keep sending heartbeats to that leader. The
 * leader must not renew their leases for so long that a task runs for more than cancel_s after the confirmation of its
 * cancellation.
 */
class StaleLeaderTest {
    private static final long COMMIT_CHECK_INTERVAL_MS = 20;

    /** A simulation with six long-running jobs, and its leader before the first fault. */
    private static final class LongJobs {
        final Simulation simulation;
        final List<SimulatedJob> jobs = new ArrayList<>();
        final String leader;

        LongJobs(int seed) {
            simulation = new Simulation(seed);
            simulation.run(3);
            for (int i = 0; i < 6; i++) {
                jobs.add(
                        simulation.users.submit(simulation.users.job(i % 2 == 0 ? "blue" : "red", "batch", 4, 2, 400)));
            }
            simulation.run(40 + simulation.random.nextInt(3_000) / 1_000.0);
            leader = simulation.leader();
            assertTrue(runningTaskCount() > 0, "expected running tasks");
        }

        private Stream<SimulatedTask> runningTasks() {
            return simulation.workers().values().stream()
                    .flatMap(w -> w.tasks().stream())
                    .filter(t -> t.phase() == SimulatedTask.Phase.RUNNING);
        }

        long runningTaskCount() {
            return runningTasks().count();
        }

        long runningTasksOfCancelledJobs() {
            return runningTasks()
                    .filter(t -> isCancellationCommitted(simulation.users.job(t.jobId())))
                    .count();
        }

        void cancelAll() {
            jobs.forEach(simulation.users::cancel);
        }

        long runningTasks(SimulatedJob job) {
            return runningTasks().filter(t -> t.jobId().equals(job.jobId())).count();
        }

        boolean isCancellationCommitted(SimulatedJob job) {
            return !simulation.store.value("final/" + job.jobId()).isMissingNode()
                    || simulation
                            .store
                            .value("job/" + job.jobId())
                            .path("cancelled")
                            .asBoolean();
        }

        /**
         * Checks that no task of the job runs cancel_s after its cancellation was committed. The user is told at that
         * time or later, so this is at least as strict as the invariant.
         */
        void checkBoundFromCommit(SimulatedJob job) {
            if (!isCancellationCommitted(job)) {
                simulation.at(COMMIT_CHECK_INTERVAL_MS, () -> checkBoundFromCommit(job));
                return;
            }
            simulation.at(
                    simulation.settings("node-0").workers().cancelMs(),
                    () -> assertEquals(0, runningTasks(job), "running tasks of " + job.jobId()));
        }

        long confirmedCancellations() {
            return jobs.stream().filter(j -> j.status().equals("aborted")).count();
        }

        void assertSomeCancellationsCommitted() {
            assertTrue(
                    jobs.stream().anyMatch(this::isCancellationCommitted),
                    "expected at least one committed cancellation");
        }

        void assertSomeCancellationsConfirmed() {
            assertTrue(confirmedCancellations() > 0, "expected at least one confirmed cancellation");
        }
    }

    /** Injects faults into a run: every cancellation must be confirmed and no invariant may be violated. */
    private static void runScenario(int seed, double seconds, BiConsumer<LongJobs, Simulation> faults) {
        LongJobs longJobs = new LongJobs(seed);
        longJobs.jobs.forEach(longJobs::checkBoundFromCommit);
        faults.accept(longJobs, longJobs.simulation);
        longJobs.simulation.run(seconds);
        assertEquals(List.of(), longJobs.simulation.invariants.violations(), "seed " + seed);
        assertEquals(longJobs.jobs.size(), longJobs.confirmedCancellations(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void storeRejectsLeaderThenAllBeyondCancelBound(int seed) {
        runWithLeaderRejected(seed, LinkState.LOST);
    }

    /**
     * A leader to which a peer reports the cancellation must stop the tasks without reading the cancellation from the
     * key-value store.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void leaderReachedByPeersEndsTasksDuringOutage(int seed) {
        runWithLeaderRejected(seed, LinkState.CONNECTED);
    }

    /**
     * The key-value store rejects the requests of the leader and, 2.6 s later, those of all controllers. Users cancel
     * their jobs in between.
     */
    private static void runWithLeaderRejected(int seed, LinkState peersToLeader) {
        boolean peersReachLeader = peersToLeader == LinkState.CONNECTED;
        runScenario(seed, 160, (longJobs, simulation) -> {
            for (String node : simulation.controllers.names()) {
                if (!node.equals(longJobs.leader)) {
                    simulation.network.setLink(node, longJobs.leader, peersToLeader);
                }
            }
            simulation.store.rejectHost(longJobs.leader, 14);
            simulation.at(200, longJobs::cancelAll);
            simulation.at(2_600, () -> {
                longJobs.assertSomeCancellationsCommitted();
                assertEquals(
                        peersReachLeader,
                        longJobs.confirmedCancellations() > 0,
                        "whether a cancellation is confirmed before a leader that peers can't reach stops launching");
                assertTrue(
                        peersReachLeader || longJobs.runningTaskCount() > 0,
                        "expected running tasks when the outage begins");
                simulation.store.outage(65);
            });
            simulation.at(
                    9_000,
                    () -> assertEquals(
                            peersReachLeader,
                            longJobs.runningTasksOfCancelledJobs() == 0,
                            "whether all tasks of jobs with a committed cancellation have terminated"));
            simulation.at(
                    10_000,
                    () -> assertTrue(
                            simulation.workers().values().stream()
                                    .anyMatch(w ->
                                            !w.isDown() && w.heartbeatTarget().equals(longJobs.leader)),
                            "expected a worker whose heartbeats still go to the old leader"));
        });
    }

    /**
     * The leader renews its leadership while its watch responses are lost. It must not renew the leases of workers when
     * its view of the jobs is stale.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void renewalsSucceedWhileWatchesAreLostThenOutage(int seed) {
        runScenario(seed, 170, (longJobs, simulation) -> {
            simulation.store.loseWatchResponses(longJobs.leader, 90);
            simulation.at(2_000, longJobs::cancelAll);
            // 18 s after the cancellations the view is stale, while the last leadership renewal is recent.
            simulation.at(20_000, () -> {
                longJobs.assertSomeCancellationsConfirmed();
                simulation.store.outage(65);
            });
        });
    }

    /**
     * The bound of cancel_s counts from the confirmation of a cancellation. Neither an outage nor a leadership renewal
     * between two outages may restart it.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void repeatedOutagesWithRenewalsBetween(int seed) {
        runScenario(seed, 200, (longJobs, simulation) -> {
            simulation.store.loseWatchResponses(longJobs.leader, 120);
            simulation.at(300, longJobs::cancelAll);
            for (int i = 0; i < 6; i++) {
                simulation.at(2_500 + i * 17_000L, () -> {
                    simulation.store.rejectHost(longJobs.leader, 2);
                    simulation.at(1_500, () -> simulation.store.outage(14));
                });
            }
            simulation.at(2_500, longJobs::assertSomeCancellationsConfirmed);
        });
    }

    /**
     * A new leader must not renew worker leases before it has read which jobs are cancelled. Listings get no response
     * for 100 s, and the leader crashes every 9 s.
     */
    @ParameterizedTest
    @MethodSource(Seeds.TWICE_AS_MANY)
    void successiveLeadersCannotListJobs(int seed) {
        runScenario(seed, 220, (longJobs, simulation) -> {
            simulation.store.dropListings(100);
            simulation.controllers.crashFor(longJobs.leader, 0.3);
            simulation.at(100, longJobs::cancelAll);
            // No leader can acknowledge a cancellation, so each is confirmed once launches without it have ended.
            simulation.at(8_900, longJobs::assertSomeCancellationsConfirmed);
            for (int i = 1; i <= 10; i++) {
                simulation.at(i * 9_000L, () -> simulation.controllers.crashFor(Workloads.leader(simulation), 0.3));
            }
        });
    }
}
