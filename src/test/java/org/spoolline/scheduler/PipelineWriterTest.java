package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.metrics.Counters;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.simulation.Simulation;

/**
 * Writes must be sent in order of urgency. When a transaction gets no response, is refused or is too large, its outcome
 * must still be determined correctly, so that no write is lost or applied twice.
 */
class PipelineWriterTest {
    private static final long TERM = 1;
    private static final Settings SETTINGS = new Simulation(1).settings("node-0");

    private final FakeEventLoop loop = new FakeEventLoop();
    private final JobTable jobs = new JobTable();
    private final List<String> outcomes = new ArrayList<>();
    /** Request bodies of the transactions that the writer sent. */
    private final List<String> sentBodies = new ArrayList<>();
    /** HTTP statuses of the responses to the next commits, 0 for no response. Once it is empty, commits are applied. */
    private final Deque<Integer> commitStatuses = new ArrayDeque<>();

    private final Map<String, ObjectNode> storedValues = new LinkedHashMap<>();
    private final KeyValueStoreClient store = new KeyValueStoreClient(
            loop,
            (target, method, path, body, timeoutMs, done) ->
                    done.accept(path.equals("/commit") ? respondToCommit(body) : respondToRead(path)),
            SETTINGS);
    private final LeaderElection election = new LeaderElection(
            loop, new Random(1), store, SETTINGS, new IgnoringElectionListener(), new Counters(loop));
    private final PipelineWriter writer =
            new PipelineWriter(loop, store, election, jobs, new OutcomeRecorder(), new Counters(loop));

    private Http.Reply respondToCommit(byte[] body) {
        sentBodies.add(new String(body, StandardCharsets.UTF_8));
        int status = commitStatuses.isEmpty() ? 200 : commitStatuses.remove();
        return new Http.Reply(status, Json.bytes(Json.object().put("ledger", 7)));
    }

    private Http.Reply respondToRead(String path) {
        ObjectNode value = storedValues.get(path.substring("/keys/".length()));
        if (value == null) {
            return new Http.Reply(404, new byte[0]);
        }
        ObjectNode body = Json.object().put("stamp", 9);
        body.set("v", value);
        return new Http.Reply(200, Json.bytes(body));
    }

    private static final class IgnoringElectionListener implements LeaderElection.Listener {
        @Override
        public void elected(long token, long keyVersion) {}

        @Override
        public void leaderObserved(String leader) {}

        @Override
        public void steppedDown(String reason) {}
    }

    private final class OutcomeRecorder implements PipelineWriter.Listener {
        @Override
        public void writeSent(PendingWrite write) {}

        @Override
        public void writeApplied(PendingWrite write, long revision) {
            outcomes.add("applied " + write.jobId());
            jobs.commitProposed(write.entry(), revision);
        }

        @Override
        public void writeAbandoned(JobEntry entry) {
            outcomes.add("abandoned " + entry.committed().jobId());
        }

        @Override
        public void outcomeKnown(boolean applied) {
            outcomes.add("outcome " + applied);
        }
    }

    @BeforeEach
    void beginTermWithFullWriteBudget() {
        store.setLeader(true);
        loop.standStill(60_000);
        writer.beginTerm(TERM);
    }

    /** Returns a write that launches the first task of a job, and adds the live job when it does not exist yet. */
    private PendingWrite launch(String jobId, String urgency) throws Exception {
        if (jobs.get(jobId) == null) {
            Pipeline job = SchedulerFixture.job(jobId, "blue", "batch", urgency, 1, 1, 0, 0);
            jobs.observe(new WatchEvent(JobKeys.live(jobId), job.encode(), 1), jobId);
        }
        Pipeline proposed = jobs.get(jobId).committed().copy();
        proposed.addAttempt(new Attempt(0, 1, "m-1", 1));
        return new PendingWrite(jobs.get(jobId), proposed);
    }

    private boolean write(PendingWrite... writes) {
        Map<String, PendingWrite> byJob = new LinkedHashMap<>();
        for (PendingWrite write : writes) {
            byJob.put(write.jobId(), write);
        }
        return writer.write(byJob);
    }

    /** Returns the keys that a transaction sets, in order. */
    private static List<String> changedKeys(String transaction) {
        List<String> keys = new ArrayList<>();
        JsonNode body = Json.read(transaction.getBytes(StandardCharsets.UTF_8));
        body.path("writes").forEach(change -> keys.add(change.path("set").asText()));
        return keys;
    }

    @Test
    void ordersUrgentLaunchesFirstInTransaction() throws Exception {
        assertTrue(write(launch("run-000001", "standard"), launch("run-000002", "urgent")));
        assertEquals(1, sentBodies.size());
        assertEquals(List.of("job/run-000002", "job/run-000001"), changedKeys(sentBodies.get(0)));
        assertEquals(List.of("applied run-000002", "applied run-000001", "outcome true"), outcomes);
        assertTrue(writer.isIdle());
    }

    @Test
    void resendsUnansweredTransactionUnchangedUntilOutcomeIsKnown() throws Exception {
        commitStatuses.addAll(List.of(0, 503, 0));
        write(launch("run-000001", "standard"));
        assertFalse(writer.isIdle());
        loop.runAll();
        assertEquals(4, sentBodies.size());
        assertEquals(List.of(sentBodies.get(0), sentBodies.get(0), sentBodies.get(0), sentBodies.get(0)), sentBodies);
        assertEquals(List.of("applied run-000001", "outcome true"), outcomes);
    }

    @Test
    void abandonsTransactionRefusedOnFirstSend() throws Exception {
        commitStatuses.add(503);
        write(launch("run-000001", "standard"));
        assertTrue(writer.isIdle());
        assertEquals(List.of("abandoned run-000001", "outcome false"), outcomes);
        assertFalse(jobs.get("run-000001").inFlight());
    }

    @Test
    void rereadsStoredValueWhenResendIsTooLarge() throws Exception {
        PendingWrite write = launch("run-000001", "standard");
        storedValues.put(JobKeys.live("run-000001"), write.proposed().encode());
        commitStatuses.addAll(List.of(0, 400));
        write(write);
        loop.runAll();
        assertEquals(2, sentBodies.size());
        assertEquals(List.of("abandoned run-000001", "outcome false", "outcome false"), outcomes);
        assertEquals(9, jobs.get("run-000001").version());
        assertEquals(1, jobs.get("run-000001").committed().attempts().size());
    }

    @Test
    void isolatesJobsOfTooLargeTransaction() throws Exception {
        commitStatuses.add(400);
        write(launch("run-000001", "standard"), launch("run-000002", "standard"));
        assertEquals(List.of("abandoned run-000001", "abandoned run-000002", "outcome false"), outcomes);
        loop.standStill(60_000);
        assertTrue(write(launch("run-000001", "standard"), launch("run-000002", "standard")));
        assertEquals(List.of("job/run-000001"), changedKeys(sentBodies.get(1)));
        assertEquals(List.of("job/run-000002"), changedKeys(sentBodies.get(2)));
    }

    @Test
    void pausesJobWithTooLargeValue() throws Exception {
        commitStatuses.add(400);
        write(launch("run-000001", "standard"));
        assertFalse(write(launch("run-000001", "standard")));
        assertEquals(1, sentBodies.size());
        loop.standStill(Constants.Cycle.OVERSIZED_VALUE_BACKOFF_MS);
        assertTrue(write(launch("run-000001", "standard")));
        assertEquals(2, sentBodies.size());
    }

    @Test
    void ignoresResponsesToTransactionsOfEarlierTerm() throws Exception {
        commitStatuses.add(0);
        write(launch("run-000001", "standard"));
        writer.beginTerm(TERM + 1);
        loop.runAll();
        assertEquals(1, sentBodies.size());
        assertEquals(List.of(), outcomes);
        assertTrue(writer.isIdle());
    }
}
