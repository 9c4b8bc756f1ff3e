package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.spoolline.simulation.Workloads.leader;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.metrics.Event;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SampleSubmissions;
import org.spoolline.simulation.SimulatedTask.ExitCause;

/**
 * Array jobs whose stored value is full because their first tasks run long: the value records each task that has
 * completed after them. When the first tasks have to run again, the value must still have space for their attempts.
 * Otherwise the job waits for ever, because only the completion of its first task makes its value smaller.
 */
class WideArrayTest {
    private static final int VALUE_BYTES = 2_048;
    /** Bytes that the value takes at least when it counts as full. */
    private static final int FULL_VALUE_BYTES = 1_650;

    private static final int TASKS = 12_000;
    private static final int FIRST_TASKS = 24;
    /** Time in s after which the value of the job is full. */
    private static final double FULL_AFTER_S = 40;

    private static final double RECOVERY_S = 300;

    /** Ends or disturbs an attempt of one of the first tasks. */
    private interface Disruption {
        void apply(Simulation simulation, SimulatedTask attempt);
    }

    private static Simulation simulationWithAnnouncedLimits(int seed) {
        Simulation simulation = new Simulation(seed, 8);
        simulation.cloud.capacity = 5;
        simulation.controllers.announceLimits(VALUE_BYTES, 4, 42);
        simulation.run(3);
        return simulation;
    }

    private static SimulatedJob wideJob(Simulation simulation) {
        return simulation.users.job("blue", "batch", TASKS, 0.1, 1).withLongFirstTasks(FIRST_TASKS, FULL_AFTER_S + 25);
    }

    /** Disturbs the attempts of the first tasks once the value is full. Every task must complete all the same. */
    private static void completesAfter(int seed, Disruption disruption) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        SimulatedJob job = simulation.users.submit(wideJob(simulation));
        simulation.run(FULL_AFTER_S);
        int bytes = storedBytes(simulation, job);
        assertTrue(bytes > FULL_VALUE_BYTES, "seed " + seed + ": only " + bytes + " bytes");
        List<SimulatedTask> firstAttempts = firstAttempts(simulation, job);
        assertFalse(firstAttempts.isEmpty(), "seed " + seed + ": expected the first tasks to run");
        firstAttempts.forEach(attempt -> disruption.apply(simulation, attempt));
        simulation.at(45_000, simulation.invariants::faultsEnded);
        assertCompletes(simulation, job, seed);
        assertEquals(0, simulation.controllers.countOnAll(Event.COMPLETION_FORGOTTEN), "seed " + seed);
    }

    private static void assertCompletes(Simulation simulation, SimulatedJob job, int seed) {
        simulation.run(RECOVERY_S);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals("done", job.status(), "seed " + seed);
        assertEquals(0, simulation.store.oversizedCommits(), "seed " + seed);
    }

    private static int storedBytes(Simulation simulation, SimulatedJob job) {
        return Json.bytes(simulation.store.value("job/" + job.jobId())).length;
    }

    private static List<SimulatedTask> firstAttempts(Simulation simulation, SimulatedJob job) {
        List<SimulatedTask> attempts = new ArrayList<>();
        for (FakeWorker worker : simulation.workers().values()) {
            for (SimulatedTask task : worker.tasks()) {
                if (task.isAlive() && task.jobId().equals(job.jobId()) && task.index() < FIRST_TASKS) {
                    attempts.add(task);
                }
            }
        }
        return attempts;
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterFailures(int seed) {
        completesAfter(seed, (simulation, attempt) -> attempt.exit(ExitCause.FAILED));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterFailuresAndChangeOfLeader(int seed) {
        completesAfter(seed, (simulation, attempt) -> {
            attempt.exit(ExitCause.FAILED);
            simulation.controllers.crashFor(leader(simulation), 2);
        });
    }

    /** The limits are lowered at the same time, so that a larger value could not be written any more. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterFailuresUnderLoweredLimits(int seed) {
        completesAfter(seed, (simulation, attempt) -> {
            attempt.exit(ExitCause.FAILED);
            simulation.store.lowerLimits(VALUE_BYTES, 12);
        });
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterLossOfMachines(int seed) {
        completesAfter(seed, (simulation, attempt) -> simulation.cloud.remove(attempt.worker().name));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterRestartsOfMachines(int seed) {
        completesAfter(seed, (simulation, attempt) -> attempt.worker().restartAfter(1));
    }

    /** The machines' leases expire, so they return with another incarnation. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterExpiredLeases(int seed) {
        completesAfter(seed, (simulation, attempt) -> attempt.worker().hang(20));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void completesAfterInterruptionsOfSpotMachines(int seed) {
        completesAfter(seed, (simulation, attempt) -> attempt.worker().preemptWithNotice(5));
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void isCancelledWithFullValue(int seed) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        SimulatedJob job = simulation.users.submit(wideJob(simulation));
        simulation.run(FULL_AFTER_S);
        simulation.store.lowerLimits(VALUE_BYTES, 4);
        firstAttempts(simulation, job).forEach(attempt -> attempt.exit(ExitCause.FAILED));
        simulation.users.cancel(job);
        simulation.run(60);
        assertEquals("aborted", job.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        // The value lists its attempts until they have ended, since it has space for the cancellation.
        assertTrue(simulation.store.value("final/" + job.jobId()).has("end"), "seed " + seed);
    }

    /**
     * Stores a value in which all tasks after the first ones are completed, up to the given one, and which has no
     * attempts.
     */
    private static SimulatedJob storeFullValue(Simulation simulation, SimulatedJob job, int completedUpTo) {
        Pipeline pipeline = SampleSubmissions.accepted(job.body(), Simulation.START_OF_DAY);
        for (int task = FIRST_TASKS; task < completedUpTo; task++) {
            pipeline.completeTask(task);
            simulation.invariants.taskCompletedBefore(job.jobId(), task);
        }
        for (int task = 0; task < FIRST_TASKS; task++) {
            pipeline.recordTaskFailure(String.format("m-%06d", 900_000 + task), Simulation.START_OF_DAY);
        }
        simulation.store.put("job/" + job.jobId(), pipeline.encode());
        return simulation.users.submit(job);
    }

    /** Runs a job whose stored value has between these sizes; returns the number of completions that were forgotten. */
    private static long completesWithStoredValue(int seed, int imageNameLength, int minBytes, int maxBytes) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        SimulatedJob job = wideJob(simulation).with("plate", "i".repeat(imageNameLength));
        storeFullValue(simulation, job, 8_100);
        simulation.store.lowerLimits(VALUE_BYTES, 4);
        int bytes = storedBytes(simulation, job);
        assertTrue(bytes >= minBytes && bytes <= maxBytes, "seed " + seed + ": " + bytes + " bytes");
        simulation.invariants.faultsEnded();
        assertCompletes(simulation, job, seed);
        return simulation.controllers.countOnAll(Event.COMPLETION_FORGOTTEN);
    }

    /** Earlier versions filled values up to 85% of the limit and counted failures and completions on top of it. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void valueFilledByEarlierVersionGoesOn(int seed) {
        long forgotten = completesWithStoredValue(seed, 90, 1_900, VALUE_BYTES);
        assertTrue(forgotten > 0 && forgotten < 1_000, "seed " + seed + ": " + forgotten + " forgotten");
    }

    /** Production writes values under larger limits, which can't be written any more without attempts either. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void valueOverLoweredLimitGoesOn(int seed) {
        completesWithStoredValue(seed, 180, VALUE_BYTES + 1, 8 * 1_024);
    }

    /**
     * Stores a value as production accepts it, whose description alone is over the limit that is lowered later: it
     * names machine types that don't exist.
     */
    private static SimulatedJob storeLongDescription(Simulation simulation, String shape, int tasks, int completed) {
        SimulatedJob job = simulation
                .users
                .job("blue", shape, tasks, 0.1, 1)
                .with("lane", "class ".repeat(30))
                .with("plate", "image ".repeat(30))
                .with("builds", List.of("small", "x".repeat(2_500)));
        return storeFullValue(simulation, job, completed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobsWithDescriptionOverLoweredLimitGoOn(int seed) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        SimulatedJob array = storeLongDescription(simulation, "batch", 500, 300);
        SimulatedJob gang = storeLongDescription(simulation, "group", 24, 0);
        simulation.store.lowerLimits(VALUE_BYTES, 4);
        assertTrue(storedBytes(simulation, array) > VALUE_BYTES);
        simulation.invariants.faultsEnded();
        simulation.run(120);
        simulation.invariants.checkAtEnd();
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertEquals("done", array.status(), "seed " + seed);
        assertEquals("done", gang.status(), "seed " + seed);
    }

    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void jobWithDescriptionOverLoweredLimitIsCancelled(int seed) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        simulation.store.lowerLimits(VALUE_BYTES, 4);
        SimulatedJob job = storeLongDescription(simulation, "batch", 500, 300);
        simulation.run(1);
        simulation.users.cancel(job);
        simulation.run(20);
        assertEquals("aborted", job.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    /** A value without attempts has no list of them to leave out, and a description of usual length can't be shortened. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void fullValueOverLoweredLimitIsCancelledWithoutMachines(int seed) {
        Simulation simulation = simulationWithAnnouncedLimits(seed);
        simulation.cloud.capacity = 0;
        simulation.store.lowerLimits(VALUE_BYTES, 4);
        SimulatedJob job = wideJob(simulation)
                .with("lane", "c".repeat(60))
                .with("plate", "i".repeat(60))
                .with("builds", List.of("small", "big"))
                .with("yard", "a")
                .with("dueS", 900.0);
        storeFullValue(simulation, job, 8_150);
        assertTrue(storedBytes(simulation, job) > VALUE_BYTES);
        simulation.run(2);
        simulation.users.cancel(job);
        simulation.run(20);
        assertEquals("aborted", job.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }
}
