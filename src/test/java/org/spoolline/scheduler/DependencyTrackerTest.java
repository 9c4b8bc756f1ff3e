package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.job.JobTable;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.simulation.Simulation;

/**
 * Tasks of a job must not start before the terminal records of all its dependencies are known to be done. A job must be
 * cancelled when any dependency is cancelled. A job inherits the priority of its dependents.
 */
class DependencyTrackerTest {
    /** Length of a dependency chain at which a recursive traversal would overflow the stack. */
    private static final int LONG_CHAIN = 20_000;

    private final FakeEventLoop loop = new FakeEventLoop();
    private final JobTable jobs = new JobTable();
    /** Values in the key-value store by key. */
    private final Map<String, ObjectNode> storedValues = new HashMap<>();

    private final KeyValueStoreClient store = new KeyValueStoreClient(
            loop,
            (target, method, path, body, timeoutMs, done) -> done.accept(respond(path)),
            new Simulation(1).settings("node-0"));
    private final DependencyTracker dependencies = new DependencyTracker(loop, store, jobs, () -> {});

    private Http.Reply respond(String path) {
        ObjectNode value = storedValues.get(path.substring("/keys/".length()));
        if (value == null) {
            return new Http.Reply(404, new byte[0]);
        }
        ObjectNode body = Json.object().put("stamp", 1);
        body.set("v", value);
        return new Http.Reply(200, Json.bytes(body));
    }

    private Pipeline job(int number, String urgency, int... dependencyNumbers) throws Exception {
        ObjectNode body =
                SubmissionCodec.encode(SchedulerFixture.job(jobId(number), "blue", "batch", urgency, 1, 1, 0, 0)
                        .spec());
        ArrayNode jobIds = body.putArray("waitsOn");
        for (int dependencyNumber : dependencyNumbers) {
            jobIds.add(jobId(dependencyNumber));
        }
        return Pipeline.accept(SubmissionCodec.parse(body), body, 0);
    }

    private static String jobId(int number) {
        return String.format("run-%06d", number);
    }

    private Pipeline addLiveJob(Pipeline job) {
        jobs.observe(new WatchEvent("job/" + job.jobId(), job.encode(), 1), job.jobId());
        return job;
    }

    @Test
    void satisfiesDependenciesOnlyAfterReadingAllDoneRecords() throws Exception {
        dependencies.beginTerm(1);
        addLiveJob(job(1, "standard"));
        Pipeline waiting = addLiveJob(job(3, "standard", 1, 2));
        dependencies.refresh();
        assertEquals(DependencyTracker.Status.UNSATISFIED, dependencies.statusOf(waiting));
        storedValues.put("final/" + jobId(2), new TerminalRecord(true, 1).encode());
        jobs.remove(jobId(1), 2);
        dependencies.refresh();
        assertEquals(
                DependencyTracker.Status.UNSATISFIED,
                dependencies.statusOf(waiting),
                "the first dependency has no terminal record yet");
        storedValues.put("final/" + jobId(1), new TerminalRecord(true, 1).encode());
        loop.runTo(loop.now() + 2_000);
        dependencies.refresh();
        dependencies.refresh();
        assertEquals(DependencyTracker.Status.SATISFIED, dependencies.statusOf(waiting));
        Pipeline satisfied = dependencies.applyStatus(waiting);
        assertEquals(false, satisfied.hasUnsatisfiedDependencies());
        assertEquals(1, satisfied.unplacedTaskCount());
    }

    @Test
    void cancelsDependentOfCancelledRecord() throws Exception {
        dependencies.beginTerm(1);
        Pipeline waiting = addLiveJob(job(3, "standard", 1));
        storedValues.put("final/" + jobId(1), new TerminalRecord(false, 0).encode());
        dependencies.refresh();
        dependencies.refresh();
        assertEquals(DependencyTracker.Status.CANCELLED, dependencies.statusOf(waiting));
        assertTrue(dependencies.applyStatus(waiting).cancelledWithoutAttempts());
    }

    /** Cancelling one level of the chain per cycle would cancel its last job long after cancel_s. */
    @Test
    void cancelsLongDependencyChainInOneCycle() throws Exception {
        dependencies.beginTerm(1);
        Pipeline root = job(0, "standard");
        root.cancel();
        addLiveJob(root);
        Pipeline last = root;
        for (int i = 1; i <= LONG_CHAIN; i++) {
            last = addLiveJob(job(i, "standard", i - 1));
        }
        dependencies.refresh();
        assertEquals(DependencyTracker.Status.CANCELLED, dependencies.statusOf(last));
    }

    @Test
    void inheritsHighestPriorityOfTransitiveDependents() throws Exception {
        dependencies.beginTerm(1);
        addLiveJob(job(1, "best_effort"));
        addLiveJob(job(2, "best_effort", 1));
        addLiveJob(job(3, "standard", 1));
        addLiveJob(job(4, "urgent", 2));
        dependencies.refresh();
        assertEquals(
                Map.of(jobId(1), Submission.Priority.URGENT, jobId(2), Submission.Priority.URGENT),
                dependencies.inheritedPriorities());
    }

    @Test
    void placesJobByInheritedPriority() throws Exception {
        SchedulerFixture fixture = new SchedulerFixture(9);
        Pipeline dependency =
                SchedulerFixture.job(jobId(7), "blue", "batch", "best_effort", 1, 8, 0, Simulation.START_OF_DAY);
        Pipeline other = SchedulerFixture.job(jobId(6), "blue", "batch", "standard", 1, 8, 0, Simulation.START_OF_DAY);
        fixture.addMachineRunning(
                "m", SchedulerFixture.job(jobId(5), "blue", "batch", "standard", 1, 1, 0, Simulation.START_OF_DAY), 1);
        fixture.jobs.add(other);
        fixture.jobs.add(dependency);
        Set<String> placeableJobs = Set.of(dependency.jobId(), other.jobId());
        assertEquals(
                Set.of(other.jobId()),
                fixture.plan(placeableJobs, false).placements().keySet());
        fixture.inheritedPriorities.put(dependency.jobId(), Submission.Priority.URGENT);
        assertEquals(
                Set.of(dependency.jobId()),
                fixture.plan(placeableJobs, false).placements().keySet());
    }
}
