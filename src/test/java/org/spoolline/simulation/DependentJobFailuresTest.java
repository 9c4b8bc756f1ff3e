package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.spoolline.simulation.DependencyChain.expectAllCancelled;
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
        runThreeChains(seed, 320, lines -> {
            lines.get(1).simulation.users.cancel(lines.get(1).check);
            expectAllCancelled(lines.get(1));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledMiddleStageCancelsLaterStages(int seed) {
        runThreeChains(seed, 320, lines -> {
            lines.get(2).simulation.users.cancel(lines.get(2).resize.get(1));
            expectAllCancelled(lines.get(2));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancelledDependentLeavesDependenciesRunning(int seed) {
        runThreeChains(seed, 320, lines -> {
            DependencyChain line = lines.get(2);
            line.simulation.users.cancel(line.merge);
            line.simulation.at(150_000, () -> {
                assertEquals("done", line.check.status());
                assertEquals("aborted", line.deliver.status());
            });
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancellationsMeetCompletionOfDependencies(int seed) {
        runThreeChains(seed, 320, lines -> lines.get(0).simulation.users.cancelAtEnd(0.5, 60));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderCrashesWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            for (int i = 0; i < 6; i++) {
                simulation.at(i * 9_000L, () -> simulation.crashFor(leader(simulation), 4));
            }
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void rootIsCancelledDuringElection(int seed) {
        runThreeChains(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.crashFor(leader(simulation), 8);
            simulation.at(300, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(
                    2_000, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            expectAllCancelled(lines.get(2));
        });
    }

    /** After the outage no poll may report a job as waiting whose dependency has long been cancelled. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void rootIsCancelledBeforeOutageBeyondCancelBound(int seed) {
        runThreeChains(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.users.cancel(lines.get(1).check);
            simulation.users.cancel(lines.get(2).resize.get(0));
            simulation.at(60, () -> simulation.store.outage(80));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void cancellationIsConfirmedWhileStoreRejectsLeaderThenAll(int seed) {
        runThreeChains(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.refuse(leader(simulation), 14);
            simulation.at(300, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(500, () -> simulation.users.cancel(lines.get(2).merge));
            simulation.at(2_000, () -> simulation.store.outage(70));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void leaderIsPartitionedFromStoreWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            String leader = leader(simulation);
            simulation.cut(leader, "state", Simulation.Cut.HOLD);
            simulation.at(
                    1_000, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            simulation.at(30_000, () -> simulation.cut(leader, "state", Simulation.Cut.NONE));
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void commitResponsesAreLostWhileStagesComplete(int seed) {
        runThreeChains(seed, 420, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.lateWrites(0.25, 60);
            simulation.at(10_000, () -> simulation.store.answersToLose = 5);
            simulation.at(5_000, () -> simulation.users.cancel(lines.get(1).merge));
            simulation.at(20_000, () -> simulation.crashFor(leader(simulation), 3));
        });
    }

    /** A leader that can't list the jobs writes nothing: every controller still reports dependents of a cancelled job as cancelled. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void dependentsAreCancelledWhileNoLeaderCanListJobs(int seed) {
        runThreeChains(seed, 500, lines -> {
            Simulation simulation = lines.get(0).simulation;
            simulation.store.refuseListings(90);
            NODES.forEach(node -> simulation.crashFor(node, 0.3));
            simulation.at(8_000, () -> simulation.users.cancel(lines.get(1).check));
            simulation.at(
                    8_500, () -> simulation.users.cancel(lines.get(2).resize.get(0)));
            for (SimulatedUsers.Job job : List.of(lines.get(2).merge, lines.get(2).deliver)) {
                simulation.at(70_000, () -> assertEquals("aborted", job.status(), job.jobId()));
            }
        });
    }
}
