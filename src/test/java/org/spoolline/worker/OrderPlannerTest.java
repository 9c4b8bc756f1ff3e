package org.spoolline.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.metrics.Counters;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.reconcile.DesiredState;

/** The orders for a machine by what is stored, what its heartbeat lists, and what the leader has decided since. */
class OrderPlannerTest {
    private static final String JOB = "run-000001";
    private static final Attempt ATTEMPT = new Attempt(0, 1, "m", 1);
    private static final AttemptId ATTEMPT_ID = AttemptId.of(JOB, ATTEMPT);

    private final JobTable jobs = new JobTable();
    private final Counters counters = new Counters(new FakeEventLoop());
    private final Machine machine = new Machine("m", "small", "a", false, 0);
    private final OrderPlanner planner = new OrderPlanner(jobs, new RunEverything(), counters);

    /** Nothing is to be stopped and everything may be launched. */
    private static final class RunEverything implements DesiredState {
        @Override
        public OptionalDouble graceOf(AttemptId attempt) {
            return OptionalDouble.empty();
        }

        @Override
        public boolean mayLaunch(AttemptId attempt) {
            return true;
        }
    }

    @BeforeEach
    void storeOneAttempt() throws SubmissionCodec.Malformed {
        ObjectNode body = Json.object()
                .put("uid", JOB)
                .put("lane", "any")
                .put("desk", "red")
                .put("shape", "batch")
                .put("urgency", "standard")
                .put("slips", 1)
                .put("cores", 20)
                .put("accelerators", 0)
                .put("memGb", 1)
                .put("plate", "img")
                .put("imageGb", 1)
                .put("samePlace", false)
                .put("scatter", false)
                .put("standby", true)
                .put("expectS", 20)
                .put("bookmarkS", 0)
                .put("stashS", 0);
        Pipeline job = Pipeline.accept(SubmissionCodec.parse(body), body, 0);
        assertEquals(ATTEMPT.number(), job.nextAttemptNumber());
        job.addAttempt(ATTEMPT);
        jobs.observe(new WatchEvent(JobKeys.live(JOB), job.encode(), 5), JOB);
        receiveHeartbeat(1);
    }

    private void receiveHeartbeat(long number, TaskStatus... tasks) {
        machine.accept(
                new Heartbeat("m", "m:9", "small", "a", false, 1, number, 1, OptionalDouble.empty(), List.of(tasks)),
                16_000,
                1_000);
    }

    private void release() {
        JobTable.Entry entry = jobs.get(JOB);
        Pipeline next = entry.committed().copy();
        next.loseAttempt(ATTEMPT);
        jobs.release(entry, next);
    }

    @Test
    void aStoredAttemptIsLaunched() {
        assertEquals(List.of(new Order.Launch(ATTEMPT_ID)), planner.ordersFor(machine));
    }

    /** The smallest form of the incident's second fault. */
    @Test
    void anAttemptWhoseEndIsDecidedButNotStoredIsNotLaunched() {
        release();
        assertEquals(List.of(), planner.ordersFor(machine));
    }
}
