package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.spoolline.simulation.DependencyChain.expectAllCancelledOrDone;
import static org.spoolline.simulation.DependencyChain.runThreeChains;
import static org.spoolline.simulation.Workloads.NODES;
import static org.spoolline.simulation.Workloads.leader;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Dependent jobs are cancelled or complete while controllers, links and the key-value store fail. */
class DependentJobFailuresTest {
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledRootCancelsAllDependents(int seed) {
        runThreeChains(seed, 320, chains -> {
            chains.get(1).simulation.users.cancel(chains.get(1).firstStage);
            expectAllCancelledOrDone(chains.get(1));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledMiddleStageCancelsLaterStages(int seed) {
        runThreeChains(seed, 320, chains -> {
            chains.get(2).simulation.users.cancel(chains.get(2).secondStage.get(1));
            expectAllCancelledOrDone(chains.get(2));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledDependentLeavesDependenciesRunning(int seed) {
        runThreeChains(seed, 320, chains -> {
            DependencyChain chain = chains.get(2);
            chain.simulation.users.cancel(chain.thirdStage);
            chain.simulation.at(150_000, () -> {
                assertEquals("done", chain.firstStage.status());
                assertEquals("aborted", chain.lastStage.status());
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancellationsCoincideWithCompletionOfDependencies(int seed) {
        runThreeChains(seed, 320, chains -> chains.get(0).simulation.users.cancelAtCompletion(0.5, 60));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, chains -> {
            Simulation simulation = chains.get(0).simulation;
            for (int i = 0; i < 6; i++) {
                simulation.at(i * 9_000L, () -> simulation.controllers.crashFor(leader(simulation), 4));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void rootIsCancelledDuringElection(int seed) {
        runThreeChains(seed, 420, chains -> {
            Simulation simulation = chains.get(0).simulation;
            simulation.controllers.crashFor(leader(simulation), 8);
            simulation.at(300, () -> simulation.users.cancel(chains.get(1).firstStage));
            simulation.at(
                    2_000,
                    () -> simulation.users.cancel(chains.get(2).secondStage.get(0)));
            expectAllCancelledOrDone(chains.get(2));
        });
    }

    /**
     * After an outage of the key-value store that is longer than cancel_s, no poll may report a job as pending if one
     * of its dependencies was cancelled before the outage.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void rootIsCancelledBeforeOutageBeyondCancelBound(int seed) {
        runThreeChains(seed, 500, chains -> {
            Simulation simulation = chains.get(0).simulation;
            simulation.users.cancel(chains.get(1).firstStage);
            simulation.users.cancel(chains.get(2).secondStage.get(0));
            simulation.at(60, () -> simulation.store.outage(80));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancellationIsConfirmedWhileStoreRejectsLeaderThenAll(int seed) {
        runThreeChains(seed, 500, chains -> {
            Simulation simulation = chains.get(0).simulation;
            simulation.store.rejectHost(leader(simulation), 14);
            simulation.at(300, () -> simulation.users.cancel(chains.get(1).firstStage));
            simulation.at(500, () -> simulation.users.cancel(chains.get(2).thirdStage));
            simulation.at(2_000, () -> simulation.store.outage(70));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderIsPartitionedFromStoreWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, chains -> {
            Simulation simulation = chains.get(0).simulation;
            String leader = leader(simulation);
            simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.DELAYED);
            simulation.at(
                    1_000,
                    () -> simulation.users.cancel(chains.get(2).secondStage.get(0)));
            simulation.at(
                    30_000, () -> simulation.network.setLink(leader, Network.KEY_VALUE_STORE, LinkState.CONNECTED));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitResponsesAreLostWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, chains -> {
            Simulation simulation = chains.get(0).simulation;
            simulation.store.delayCommits(0.25, 60);
            simulation.at(10_000, () -> simulation.store.commitResponsesToLose = 5);
            simulation.at(5_000, () -> simulation.users.cancel(chains.get(1).thirdStage));
            simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), 3));
        });
    }

    /**
     * A leader that can't list the jobs does not write the cancellation of dependents. Every controller must still
     * report the dependents of a cancelled job as cancelled.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void dependentsAreCancelledWhileNoLeaderCanListJobs(int seed) {
        runThreeChains(seed, 500, chains -> {
            Simulation simulation = chains.get(0).simulation;
            simulation.store.dropListings(90);
            NODES.forEach(node -> simulation.controllers.crashFor(node, 0.3));
            simulation.at(8_000, () -> simulation.users.cancel(chains.get(1).firstStage));
            simulation.at(
                    8_500,
                    () -> simulation.users.cancel(chains.get(2).secondStage.get(0)));
            for (SimulatedJob job : List.of(chains.get(2).thirdStage, chains.get(2).lastStage)) {
                simulation.at(70_000, () -> assertEquals("aborted", job.status(), job.jobId()));
            }
        });
    }
}
