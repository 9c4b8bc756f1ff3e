package org.spoolline.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Settings;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.job.TeamQuotas;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SampleSubmissions;
import org.spoolline.reconcile.DesiredState;
import org.spoolline.simulation.Simulation;

/**
 * Checks the orders for a machine that follow from the stored attempts, the attempts in its last heartbeat, and the
 * attempts that the leader has released.
 */
class OrderPlannerTest {
    private static final String JOB = "run-000001";
    private static final Attempt ATTEMPT = new Attempt(0, 1, "m", 1);
    private static final AttemptId ATTEMPT_ID = AttemptId.of(JOB, ATTEMPT);

    /** The limit of team red is 32 cores. */
    private static final Settings SETTINGS = new Simulation(1).settings("node-0");

    private final JobTable jobs = new JobTable();
    private final Counters counters = new Counters(new FakeEventLoop());
    private final Machine machine = new Machine("m", "small", "a", false, 0);
    private final OrderPlanner planner =
            new OrderPlanner(jobs, new TeamQuotas(SETTINGS, jobs), new LaunchAllStopNone(), counters);

    /** Permits the launch of all attempts and requests no stops. */
    private static final class LaunchAllStopNone implements DesiredState {
        @Override
        public OptionalDouble stopGraceS(AttemptId attempt) {
            return OptionalDouble.empty();
        }

        @Override
        public boolean mayLaunch(AttemptId attempt) {
            return true;
        }
    }

    @BeforeEach
    void storeOneAttempt() {
        store(JOB, ATTEMPT);
        receiveHeartbeat(1);
    }

    private void store(String jobId, Attempt attempt) {
        Pipeline job = SampleSubmissions.acceptedArray(jobId, "red", 1, 20);
        assertEquals(attempt.number(), job.nextAttemptNumber());
        job.addAttempt(attempt);
        jobs.observe(new WatchEvent(JobKeys.live(jobId), job.encode(), 5), jobId);
    }

    private void receiveHeartbeat(long number, TaskStatus... tasks) {
        machine.accept(
                new Heartbeat("m", "m:9", "small", "a", false, 1, number, 1, OptionalDouble.empty(), List.of(tasks)),
                16_000,
                1_000);
    }

    private void release() {
        JobEntry entry = jobs.get(JOB);
        Pipeline nextValue = entry.committed().copy();
        nextValue.retireAttempt(ATTEMPT);
        jobs.release(entry, nextValue, entry.committed().attempts());
    }

    @Test
    void launchesStoredAttempt() {
        assertEquals(List.of(new Order.Launch(ATTEMPT_ID)), planner.ordersFor(machine));
    }

    /**
     * A release whose write is not stored yet must prevent the launch, because the capacity of the attempt may
     * already be assigned to another task.
     */
    @Test
    void doesNotLaunchReleasedAttempt() {
        release();
        assertEquals(List.of(), planner.ordersFor(machine));
    }

    /**
     * A machine lists a released attempt only if its heartbeat is a delayed one or the termination proof was wrong.
     * In both cases the task must not continue to run.
     */
    @Test
    void stopsListedReleasedAttempt() {
        release();
        receiveHeartbeat(2, status(TaskStatus.Phase.RUNNING, null));
        assertEquals(List.of(new Order.Stop(ATTEMPT_ID, 0)), planner.ordersFor(machine));
        assertEquals(1, counters.get(Event.HEARTBEAT_LISTED_RELEASED_ATTEMPT));
    }

    /**
     * The clear order must wait until the release is stored. After an earlier clear, a repeated launch order would
     * start the attempt again.
     */
    @Test
    void doesNotClearExitedAttemptBeforeReleaseIsStored() {
        release();
        receiveHeartbeat(2, status(TaskStatus.Phase.EXITED, TaskStatus.ExitReason.STOPPED));
        assertEquals(List.of(), planner.ordersFor(machine));
    }

    @Test
    void clearsRejectedLaunchOfAttemptNotStored() {
        jobs.remove(JOB, 6);
        receiveHeartbeat(2, status(TaskStatus.Phase.EXITED, TaskStatus.ExitReason.INSUFFICIENT_CAPACITY));
        assertEquals(List.of(new Order.Clear(ATTEMPT_ID)), planner.ordersFor(machine));
        assertEquals(1, counters.get(Event.REJECTED_LAUNCH_NOT_STORED));
    }

    /**
     * A second stored attempt of 20 cores makes the team exceed its limit of 32 cores. Neither attempt may be
     * launched, but an attempt that already runs continues.
     */
    @Test
    void withholdsLaunchesWhileTeamExceedsLimit() {
        store("run-000002", new Attempt(0, 1, "m-2", 1));
        assertEquals(List.of(), planner.ordersFor(machine));
        assertEquals(1, counters.get(Event.LAUNCH_WITHHELD_TEAM_LIMIT));
        receiveHeartbeat(2, status(TaskStatus.Phase.RUNNING, null));
        assertEquals(List.of(), planner.ordersFor(machine));
        jobs.remove("run-000002", 7);
        receiveHeartbeat(3);
        assertEquals(List.of(new Order.Launch(ATTEMPT_ID)), planner.ordersFor(machine));
    }

    private static TaskStatus status(TaskStatus.Phase phase, TaskStatus.ExitReason reason) {
        return new TaskStatus(JOB, ATTEMPT.task(), ATTEMPT.number(), phase, reason, false);
    }
}
