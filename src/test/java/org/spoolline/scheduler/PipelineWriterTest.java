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

/** The order of writes, and what becomes of a transaction by its answers. */
class PipelineWriterTest {
    private static final long TERM = 1;
    private static final Settings SETTINGS = new Simulation(1).settings("node-0");

    private final FakeEventLoop loop = new FakeEventLoop();
    private final JobTable jobs = new JobTable();
    private final List<String> outcomes = new ArrayList<>();
    /** Bodies of the transactions that were sent. */
    private final List<String> sent = new ArrayList<>();
    /** Statuses with which transactions are answered in turn; afterwards they are applied. */
    private final Deque<Integer> statuses = new ArrayDeque<>();

    private final Map<String, ObjectNode> stored = new LinkedHashMap<>();
    private final KeyValueStoreClient store = new KeyValueStoreClient(
            loop,
            (target, method, path, body, timeoutMs, done) ->
                    done.accept(path.equals("/commit") ? committed(body) : read(path)),
            SETTINGS);
    private final LeaderElection election =
            new LeaderElection(loop, new Random(1), store, SETTINGS, new IgnoredLeadership(), new Counters(loop));
    private final PipelineWriter writer =
            new PipelineWriter(loop, store, election, jobs, new RecordedOutcomes(), new Counters(loop));

    private Http.Reply committed(byte[] body) {
        sent.add(new String(body, StandardCharsets.UTF_8));
        int status = statuses.isEmpty() ? 200 : statuses.remove();
        return new Http.Reply(status, Json.bytes(Json.object().put("ledger", 7)));
    }

    private Http.Reply read(String path) {
        ObjectNode value = stored.get(path.substring("/keys/".length()));
        if (value == null) {
            return new Http.Reply(404, new byte[0]);
        }
        ObjectNode body = Json.object().put("stamp", 9);
        body.set("v", value);
        return new Http.Reply(200, Json.bytes(body));
    }

    private static final class IgnoredLeadership implements LeaderElection.Listener {
        @Override
        public void elected(long token, long keyVersion) {}

        @Override
        public void leaderObserved(String leader) {}

        @Override
        public void steppedDown(String why) {}
    }

    private final class RecordedOutcomes implements PipelineWriter.Listener {
        @Override
        public void sent(PendingWrite write) {}

        @Override
        public void applied(PendingWrite write, long revision) {
            outcomes.add("applied " + write.jobId());
            jobs.commitProposed(write.entry(), revision);
        }

        @Override
        public void abandoned(JobEntry entry) {
            outcomes.add("abandoned " + entry.committed().jobId());
        }

        @Override
        public void transactionDecided(boolean applied) {
            outcomes.add("decided " + applied);
        }
    }

    @BeforeEach
    void beginTermWithAFullBudget() {
        store.setLeader(true);
        loop.advanceWithoutTimers(60_000);
        writer.begin(TERM);
    }

    /** A write that launches the first task of a live job. */
    private PendingWrite launch(String jobId, String urgency) throws Exception {
        if (jobs.get(jobId) == null) {
            Pipeline job = SchedulerFixture.job(jobId, "blue", "batch", urgency, 1, 1, 0, 0);
            jobs.observe(new WatchEvent(JobKeys.live(jobId), job.encode(), 1), jobId);
        }
        Pipeline next = jobs.get(jobId).committed().copy();
        next.addAttempt(new Attempt(0, 1, "m-1", 1));
        return new PendingWrite(jobs.get(jobId), next);
    }

    private boolean write(PendingWrite... writes) {
        Map<String, PendingWrite> byJob = new LinkedHashMap<>();
        for (PendingWrite write : writes) {
            byJob.put(write.jobId(), write);
        }
        return writer.write(byJob);
    }

    /** The keys that a transaction changes, in its order. */
    private static List<String> changedKeys(String transaction) {
        List<String> keys = new ArrayList<>();
        JsonNode body = Json.read(transaction.getBytes(StandardCharsets.UTF_8));
        body.path("writes").forEach(change -> keys.add(change.path("set").asText()));
        return keys;
    }

    @Test
    void urgentLaunchesPrecedeOthersInOneTransaction() throws Exception {
        assertTrue(write(launch("run-000001", "standard"), launch("run-000002", "urgent")));
        assertEquals(1, sent.size());
        assertEquals(List.of("job/run-000002", "job/run-000001"), changedKeys(sent.get(0)));
        assertEquals(List.of("applied run-000002", "applied run-000001", "decided true"), outcomes);
        assertTrue(writer.idle());
    }

    @Test
    void anUnansweredTransactionIsSentAgainUnchangedUntilItIsDecided() throws Exception {
        statuses.addAll(List.of(0, 503, 0));
        write(launch("run-000001", "standard"));
        assertFalse(writer.idle());
        loop.runAll();
        assertEquals(4, sent.size());
        assertEquals(List.of(sent.get(0), sent.get(0), sent.get(0), sent.get(0)), sent);
        assertEquals(List.of("applied run-000001", "decided true"), outcomes);
    }

    @Test
    void aTransactionRefusedAtOnceIsAbandoned() throws Exception {
        statuses.add(503);
        write(launch("run-000001", "standard"));
        assertTrue(writer.idle());
        assertEquals(List.of("abandoned run-000001", "decided false"), outcomes);
        assertFalse(jobs.get("run-000001").inFlight());
    }

    @Test
    void theStoredValueShowsWhatBecameOfAnUnansweredTransactionThatHasBecomeTooLarge() throws Exception {
        PendingWrite write = launch("run-000001", "standard");
        stored.put(JobKeys.live("run-000001"), write.next().encode());
        statuses.addAll(List.of(0, 400));
        write(write);
        loop.runAll();
        assertEquals(2, sent.size());
        assertEquals(List.of("abandoned run-000001", "decided false", "decided false"), outcomes);
        assertEquals(9, jobs.get("run-000001").version());
        assertEquals(1, jobs.get("run-000001").committed().attempts().size());
    }

    @Test
    void jobsOfATransactionThatIsTooLargeAreWrittenAlone() throws Exception {
        statuses.add(400);
        write(launch("run-000001", "standard"), launch("run-000002", "standard"));
        assertEquals(List.of("abandoned run-000001", "abandoned run-000002", "decided false"), outcomes);
        loop.advanceWithoutTimers(60_000);
        assertTrue(write(launch("run-000001", "standard"), launch("run-000002", "standard")));
        assertEquals(List.of("job/run-000001"), changedKeys(sent.get(1)));
        assertEquals(List.of("job/run-000002"), changedKeys(sent.get(2)));
    }

    @Test
    void aJobWhoseValueAloneIsTooLargeIsPaused() throws Exception {
        statuses.add(400);
        write(launch("run-000001", "standard"));
        assertFalse(write(launch("run-000001", "standard")));
        assertEquals(1, sent.size());
        loop.advanceWithoutTimers(Constants.Cycle.OVERSIZED_VALUE_BACKOFF_MS);
        assertTrue(write(launch("run-000001", "standard")));
        assertEquals(2, sent.size());
    }

    @Test
    void answersToTransactionsOfAnEarlierTermAreIgnored() throws Exception {
        statuses.add(0);
        write(launch("run-000001", "standard"));
        writer.begin(TERM + 1);
        loop.runAll();
        assertEquals(1, sent.size());
        assertEquals(List.of(), outcomes);
        assertTrue(writer.idle());
    }
}
