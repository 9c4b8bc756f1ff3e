package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.config.SettingsException;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.peer.CancellationReply;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.ProductionSamples;

/** Exact responses to status requests and cancellations, and the requests to the key-value store that they cause. */
class JobApiStatusTest {
    private static final String PENDING = "200 {\"uid\":\"run-1\",\"status\":\"pending\",\"done\":0,\"running\":0}";
    private static final String ABORTED = "200 {\"uid\":\"run-1\",\"status\":\"aborted\"}";
    private static final String UNAVAILABLE = "503 retry-after=1 {\"error\":\"not now\"}";
    private static final String TOO_MANY_REQUESTS = "429 retry-after=1 {\"error\":\"too many requests\"}";
    private static final String READ_LIVE = "GET /keys/job/run-1";
    private static final String COMMIT = "POST /commit";

    private JobApiFixture fixture;

    @BeforeEach
    void createFixture() throws SettingsException {
        fixture = JobApiFixture.ready();
    }

    private String status() {
        return fixture.request("GET", "/submissions/run-1");
    }

    private String cancel() {
        return fixture.request("POST", "/submissions/run-1/abort");
    }

    private List<String> drainStoreRequests() {
        List<String> requests = List.copyOf(fixture.storeRequests);
        fixture.storeRequests.clear();
        return requests;
    }

    /** Requests the status of each job; the returned list is filled as the responses arrive. */
    private List<String> requestStatuses(String... jobIds) {
        List<String> responses = new ArrayList<>();
        for (String jobId : jobIds) {
            Http.Request request = new Http.Request("GET", "/submissions/" + jobId, "", new byte[0]);
            fixture.api.handle(request, response -> responses.add(JobApiFixture.formatResponse(response)));
        }
        return responses;
    }

    private void recordTerminalState(String jobId, String terminalRecord) {
        fixture.remove("job/" + jobId);
        fixture.put("final/" + jobId, JobApiFixture.json(terminalRecord));
    }

    @Test
    void reportsStatusFromAcceptanceToCompletion() {
        assertEquals("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", fixture.submit(JobApiFixture.submission()));
        assertEquals(PENDING, status());
        assertEquals(PENDING, fixture.submit(JobApiFixture.submission()));
        recordTerminalState("run-1", "{\"end\":\"done\",\"done\":1}");
        drainStoreRequests();
        String done = "200 {\"uid\":\"run-1\",\"status\":\"done\",\"done\":1,\"running\":0}";
        assertEquals(done, status());
        assertEquals(List.of(READ_LIVE, "GET /keys/final/run-1"), drainStoreRequests());
        fixture.storeReachable = false;
        assertEquals(done, status());
        assertEquals(done, fixture.submit(JobApiFixture.submission()));
        assertEquals(List.of(), drainStoreRequests());
    }

    @Test
    void cancelsLiveJob() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        assertEquals(ABORTED, cancel());
        assertEquals(true, fixture.value("job/run-1").path("cancelled").asBoolean());
        assertEquals(List.of(READ_LIVE, COMMIT), drainStoreRequests());
        assertEquals(ABORTED, cancel());
        assertEquals(List.of(READ_LIVE), drainStoreRequests());
        assertEquals(ABORTED, status());
        assertEquals(ABORTED, fixture.submit(JobApiFixture.submission()));
        assertEquals(List.of("run-1", "run-1"), fixture.notifiedCancellations);
        recordTerminalState("run-1", "{\"end\":\"aborted\",\"done\":0}");
        String terminal = "200 {\"uid\":\"run-1\",\"status\":\"aborted\",\"done\":0,\"running\":0}";
        assertEquals(terminal, cancel());
        assertEquals(terminal, status());
        assertEquals(2, fixture.notifiedCancellations.size());
    }

    /**
     * Guards against a confirmation while a leader that has not heard of the cancellation may still launch the job's
     * stored attempts. No response may say that the job is cancelled, nor that it is not.
     */
    @Test
    void confirmsCancellationOfJobWithAttemptsOnlyOnceLeaderAcknowledged() throws SubmissionCodec.Malformed {
        for (CancellationReply reply : List.of(CancellationReply.NO_REPLY, CancellationReply.NOT_ACKNOWLEDGED)) {
            fixture.acceptWithAttempt(JobApiFixture.submission());
            fixture.leaderReply = reply;
            assertEquals(UNAVAILABLE, cancel());
            assertEquals(true, fixture.value("job/run-1").path("cancelled").asBoolean());
            assertEquals(UNAVAILABLE, cancel());
            assertEquals(UNAVAILABLE, status());
            assertEquals(UNAVAILABLE, fixture.submit(JobApiFixture.submission()));
        }
        fixture.leaderReply = CancellationReply.ACKNOWLEDGED;
        assertEquals(ABORTED, status());
        fixture.leaderReply = CancellationReply.NO_REPLY;
        assertEquals(ABORTED, cancel());
        assertEquals(ABORTED, status());
        assertEquals(ABORTED, fixture.submit(JobApiFixture.submission()));
        assertEquals(9, fixture.notifiedCancellations.size());
    }

    /** Without the leader, a cancellation is confirmed once no leader may launch on a view from before it. */
    @Test
    void confirmsCancellationOnceLaunchesOnStaleViewsHaveEnded() throws SubmissionCodec.Malformed {
        fixture.acceptWithAttempt(JobApiFixture.submission());
        fixture.leaderReply = CancellationReply.NO_REPLY;
        long staleLaunchMs = fixture.settings.staleLaunchMs();
        long committedAt = fixture.loop.now();
        assertEquals(UNAVAILABLE, cancel());
        fixture.loop.runTo(committedAt + staleLaunchMs - 1);
        assertEquals(UNAVAILABLE, cancel());
        assertEquals(UNAVAILABLE, status());
        fixture.loop.runTo(committedAt + staleLaunchMs);
        assertEquals(ABORTED, status());
        assertEquals(ABORTED, cancel());
    }

    /** A node that reads a cancellation which another one committed doesn't know when that was. */
    @Test
    void countsFromFirstReadOfCancellationByAnotherNode() throws SubmissionCodec.Malformed {
        fixture.acceptWithAttempt(JobApiFixture.submission());
        fixture.leaderReply = CancellationReply.NO_REPLY;
        fixture.put("job/run-1", JobApiFixture.cancelled(fixture.value("job/run-1")));
        fixture.loop.runTo(fixture.loop.now() + 2 * fixture.settings.staleLaunchMs());
        assertEquals(UNAVAILABLE, status());
        fixture.loop.runTo(fixture.loop.now() + fixture.settings.staleLaunchMs());
        assertEquals(ABORTED, status());
    }

    /** A batch of status requests reports a cancellation only once it is confirmed, and then from the cache. */
    @Test
    void batchReportsNoUnconfirmedCancellation() throws SubmissionCodec.Malformed {
        fixture.acceptWithAttempt(JobApiFixture.submission());
        status();
        fixture.loop.runTo(fixture.loop.now() + Constants.Api.STATUS_LOW_PRIORITY_MS);
        fixture.put("job/run-1", JobApiFixture.cancelled(fixture.value("job/run-1")));
        fixture.leaderReply = CancellationReply.NO_REPLY;
        assertEquals(List.of(UNAVAILABLE, UNAVAILABLE), batchedStatuses());
        fixture.leaderReply = CancellationReply.ACKNOWLEDGED;
        assertEquals(ABORTED, status());
        drainStoreRequests();
        assertEquals(List.of(ABORTED, ABORTED), batchedStatuses());
        assertEquals(List.of(COMMIT), drainStoreRequests());
    }

    private List<String> batchedStatuses() {
        fixture.spendRequestBudgetUntilLow();
        List<String> responses = requestStatuses("run-1", "run-1");
        fixture.loop.runTo(fixture.loop.now() + Constants.Api.STATUS_BATCH_MS);
        return responses;
    }

    @Test
    void retriesCancellationAfterConcurrentChange() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.overriddenCommitStatuses.addAll(List.of(409, 400, 409, 409));
        assertEquals(ABORTED, cancel());
        assertEquals(10, drainStoreRequests().size());
        fixture.accept(JobApiFixture.submission());
        fixture.overriddenCommitStatuses.addAll(List.of(409, 409, 409, 409, 409));
        assertEquals(UNAVAILABLE, cancel());
        assertEquals(10, drainStoreRequests().size());
        fixture.overriddenCommitStatuses.add(503);
        assertEquals(UNAVAILABLE, cancel());
        assertEquals(2, drainStoreRequests().size());
    }

    @Test
    void respondsUnavailableWhenSubmissionOutcomeIsUnknown() {
        for (int status : List.of(0, 400, 409, 429, 503)) {
            fixture.overriddenCommitStatuses.add(status);
            assertEquals(UNAVAILABLE, fixture.submit(JobApiFixture.submission()), "commit answered " + status);
        }
    }

    @Test
    void cancelsJobWithItsDependency() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        String accepted = "201 {\"uid\":\"run-1\",\"status\":\"pending\"}";
        assertEquals(accepted, fixture.submit(JobApiFixture.submission("waitsOn", "[\"run-2\"]")));
        assertEquals(PENDING, status());
        fixture.loop.runTo(60_000);
        recordTerminalState("run-2", "{\"end\":\"aborted\",\"done\":0}");
        assertEquals(ABORTED, status());
        assertEquals(List.of("run-1"), fixture.notifiedCancellations);
        assertEquals(
                "201 {\"uid\":\"run-3\",\"status\":\"aborted\"}",
                fixture.submit(JobApiFixture.submission("uid", "\"run-3\"", "waitsOn", "[\"run-1\"]")));
    }

    /** A job with an unsatisfiable and a cancelled dependency must be rejected, in whichever order they are read. */
    @Test
    void neverAcceptedDependencyOutranksCancelledDependency() {
        recordTerminalState("run-2", "{\"end\":\"aborted\",\"done\":0}");
        String rejected = "422 {\"error\":\"waitsOn names a job that was never accepted, or a service\"}";
        for (String dependencies : List.of("[\"run-2\",\"run-4\"]", "[\"run-4\",\"run-2\"]")) {
            assertEquals(rejected, fixture.submit(JobApiFixture.submission("waitsOn", dependencies)));
        }
    }

    @Test
    void batchesStatusRequestsWhileRequestBudgetIsLow() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        requestStatuses("run-1", "run-2");
        drainStoreRequests();
        fixture.loop.runTo(70_000);
        fixture.spendRequestBudgetUntilLow();
        List<String> responses = requestStatuses("run-1", "run-2", "run-1");
        assertEquals(List.of(), responses);
        recordTerminalState("run-2", "{\"end\":\"done\",\"done\":1}");
        fixture.loop.runTo(70_040);
        assertEquals(
                List.of(PENDING, "200 {\"uid\":\"run-2\",\"status\":\"done\",\"done\":1,\"running\":0}", PENDING),
                responses);
        assertEquals(List.of(COMMIT, "GET /keys/job/run-2", "GET /keys/final/run-2"), drainStoreRequests());
    }

    @Test
    void sendsFullStatusBatchImmediately() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        status();
        drainStoreRequests();
        fixture.spendRequestBudgetUntilLow();
        for (int i = 1; i < fixture.store.maxConditions(); i++) {
            assertEquals("[]", status());
        }
        assertEquals(List.of(), drainStoreRequests());
        assertEquals(PENDING, status());
        assertEquals(List.of(COMMIT), drainStoreRequests());
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(), drainStoreRequests());
    }

    @Test
    void failedStatusBatchRespondsUnavailableOrTooManyRequests() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        status();
        fixture.spendRequestBudgetUntilLow();
        List<String> responses = requestStatuses("run-1", "run-1");
        fixture.storeReachable = false;
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(UNAVAILABLE, UNAVAILABLE), responses);
        fixture.spendRequestBudgetUntilLow();
        responses = requestStatuses("run-1", "run-1");
        fixture.loop.advanceWithoutTimers(40);
        fixture.spendRequestBudget();
        fixture.loop.runTo(fixture.loop.now());
        assertEquals(List.of(TOO_MANY_REQUESTS, TOO_MANY_REQUESTS), responses);
    }

    /** While the request budget is low, jobs without a recent response have priority; others must retry later. */
    @Test
    void rejectsPollAfterRecentResponseWhileRequestBudgetIsLow() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        status();
        fixture.spendRequestBudgetUntilLow();
        List<String> responses = requestStatuses("run-1");
        fixture.put("job/run-1", fixture.value("job/run-1"));
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(TOO_MANY_REQUESTS), responses);
        assertEquals(
                "200 {\"uid\":\"run-2\",\"status\":\"pending\",\"done\":0,\"running\":0}",
                fixture.request("GET", "/submissions/run-2"));
    }

    @Test
    void reportsJobWithAttemptsAsRunning() {
        fixture.put("job/run-000007", Json.read(ProductionSamples.bytes("wide.json")));
        assertEquals(
                "200 {\"uid\":\"run-000007\",\"status\":\"running\",\"done\":215,\"running\":1285}",
                fixture.request("GET", "/submissions/run-000007"));
    }
}
