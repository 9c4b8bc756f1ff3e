package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.SettingsException;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.upgrade.ProductionForms;

/** Statuses and cancellations, byte by byte, and the requests to the key-value store that they take. */
class JobApiStatusTest {
    private static final String PENDING = "200 {\"uid\":\"run-1\",\"status\":\"pending\",\"done\":0,\"running\":0}";
    private static final String ABORTED = "200 {\"uid\":\"run-1\",\"status\":\"aborted\"}";
    private static final String NOT_NOW = "503 retry-after=1 {\"error\":\"not now\"}";
    private static final String TOO_MANY_REQUESTS = "429 retry-after=1 {\"error\":\"too many requests\"}";
    private static final String READ_LIVE = "GET /keys/job/run-1";
    private static final String COMMIT = "POST /commit";

    private JobApiFixture fixture;

    @BeforeEach
    void create() throws SettingsException {
        fixture = JobApiFixture.ready();
    }

    private String status() {
        return fixture.request("GET", "/submissions/run-1");
    }

    private String cancel() {
        return fixture.request("POST", "/submissions/run-1/abort");
    }

    private List<String> takeStoreRequests() {
        List<String> requests = List.copyOf(fixture.storeRequests);
        fixture.storeRequests.clear();
        return requests;
    }

    /** Asks for the status of each job and collects the responses, which come later. */
    private List<String> requestStatuses(String... jobIds) {
        List<String> responses = new ArrayList<>();
        for (String jobId : jobIds) {
            Http.Request request = new Http.Request("GET", "/submissions/" + jobId, "", new byte[0]);
            fixture.api.handle(request, response -> responses.add(JobApiFixture.line(response)));
        }
        return responses;
    }

    private void endWith(String jobId, String terminalRecord) {
        fixture.remove("job/" + jobId);
        fixture.put("final/" + jobId, JobApiFixture.json(terminalRecord));
    }

    @Test
    void statusFromAcceptedToDone() {
        assertEquals("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", fixture.submit(JobApiFixture.submission()));
        assertEquals(PENDING, status());
        assertEquals(PENDING, fixture.submit(JobApiFixture.submission()));
        endWith("run-1", "{\"end\":\"done\",\"done\":1}");
        takeStoreRequests();
        String done = "200 {\"uid\":\"run-1\",\"status\":\"done\",\"done\":1,\"running\":0}";
        assertEquals(done, status());
        assertEquals(List.of(READ_LIVE, "GET /keys/final/run-1"), takeStoreRequests());
        fixture.storeReachable = false;
        assertEquals(done, status());
        assertEquals(done, fixture.submit(JobApiFixture.submission()));
        assertEquals(List.of(), takeStoreRequests());
    }

    @Test
    void cancellationOfALiveJob() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        assertEquals(ABORTED, cancel());
        assertEquals(true, fixture.value("job/run-1").path("cancelled").asBoolean());
        assertEquals(List.of(READ_LIVE, COMMIT), takeStoreRequests());
        assertEquals(ABORTED, cancel());
        assertEquals(List.of(READ_LIVE), takeStoreRequests());
        assertEquals(ABORTED, status());
        assertEquals(ABORTED, fixture.submit(JobApiFixture.submission()));
        assertEquals(List.of("run-1", "run-1"), fixture.confirmedCancellations);
        endWith("run-1", "{\"end\":\"aborted\",\"done\":0}");
        String terminal = "200 {\"uid\":\"run-1\",\"status\":\"aborted\",\"done\":0,\"running\":0}";
        assertEquals(terminal, cancel());
        assertEquals(terminal, status());
        assertEquals(2, fixture.confirmedCancellations.size());
    }

    @Test
    void aCancellationIsTriedAgainAfterAConcurrentChange() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.nextCommitStatuses.addAll(List.of(409, 400, 409, 409));
        assertEquals(ABORTED, cancel());
        assertEquals(10, takeStoreRequests().size());
        fixture.accept(JobApiFixture.submission());
        fixture.nextCommitStatuses.addAll(List.of(409, 409, 409, 409, 409));
        assertEquals(NOT_NOW, cancel());
        assertEquals(10, takeStoreRequests().size());
        fixture.nextCommitStatuses.add(503);
        assertEquals(NOT_NOW, cancel());
        assertEquals(2, takeStoreRequests().size());
    }

    @Test
    void aSubmissionWhoseOutcomeIsUnknownIsToComeAgain() {
        for (int status : List.of(0, 400, 409, 429, 503)) {
            fixture.nextCommitStatuses.add(status);
            assertEquals(NOT_NOW, fixture.submit(JobApiFixture.submission()), "commit answered " + status);
        }
    }

    @Test
    void aJobIsCancelledWithItsDependencies() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        String accepted = "201 {\"uid\":\"run-1\",\"status\":\"pending\"}";
        assertEquals(accepted, fixture.submit(JobApiFixture.submission("waitsOn", "[\"run-2\"]")));
        assertEquals(PENDING, status());
        fixture.loop.runTo(60_000);
        endWith("run-2", "{\"end\":\"aborted\",\"done\":0}");
        assertEquals(ABORTED, status());
        assertEquals(List.of("run-1"), fixture.confirmedCancellations);
        assertEquals(
                "201 {\"uid\":\"run-3\",\"status\":\"aborted\"}",
                fixture.submit(JobApiFixture.submission("uid", "\"run-3\"", "waitsOn", "[\"run-1\"]")));
    }

    /** That a dependency can never be done counts more than that another is cancelled, in either order. */
    @Test
    void aDependencyThatWasNeverAcceptedCountsMoreThanACancelledOne() {
        endWith("run-2", "{\"end\":\"aborted\",\"done\":0}");
        String rejected = "422 {\"error\":\"waitsOn names a job that was never accepted, or a service\"}";
        for (String dependencies : List.of("[\"run-2\",\"run-4\"]", "[\"run-4\",\"run-2\"]")) {
            assertEquals(rejected, fixture.submit(JobApiFixture.submission("waitsOn", dependencies)));
        }
    }

    @Test
    void statusRequestsAreConfirmedTogetherWhileTheBudgetIsLow() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        requestStatuses("run-1", "run-2");
        takeStoreRequests();
        fixture.loop.runTo(70_000);
        fixture.spendBudgetUntilLow();
        List<String> responses = requestStatuses("run-1", "run-2", "run-1");
        assertEquals(List.of(), responses);
        endWith("run-2", "{\"end\":\"done\",\"done\":1}");
        fixture.loop.runTo(70_040);
        assertEquals(
                List.of(PENDING, "200 {\"uid\":\"run-2\",\"status\":\"done\",\"done\":1,\"running\":0}", PENDING),
                responses);
        assertEquals(List.of(COMMIT, "GET /keys/job/run-2", "GET /keys/final/run-2"), takeStoreRequests());
    }

    @Test
    void aFullBatchOfStatusRequestsIsConfirmedAtOnce() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        status();
        takeStoreRequests();
        fixture.spendBudgetUntilLow();
        for (int i = 1; i < fixture.store.maxConditions(); i++) {
            assertEquals("[]", status());
        }
        assertEquals(List.of(), takeStoreRequests());
        assertEquals(PENDING, status());
        assertEquals(List.of(COMMIT), takeStoreRequests());
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(), takeStoreRequests());
    }

    @Test
    void aBatchThatCannotBeConfirmedIsToComeAgain() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        status();
        fixture.spendBudgetUntilLow();
        List<String> responses = requestStatuses("run-1", "run-1");
        fixture.storeReachable = false;
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(NOT_NOW, NOT_NOW), responses);
        fixture.spendBudgetUntilLow();
        responses = requestStatuses("run-1", "run-1");
        fixture.loop.advanceWithoutTimers(40);
        fixture.spendBudget();
        fixture.loop.runTo(fixture.loop.now());
        assertEquals(List.of(TOO_MANY_REQUESTS, TOO_MANY_REQUESTS), responses);
    }

    /** Those that were not answered lately come first. */
    @Test
    void aJobThatWasAnsweredLatelyLeavesALowBudgetToOthers() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        fixture.accept(JobApiFixture.submission("uid", "\"run-2\""));
        status();
        fixture.spendBudgetUntilLow();
        List<String> responses = requestStatuses("run-1");
        fixture.put("job/run-1", fixture.value("job/run-1"));
        fixture.loop.runTo(fixture.loop.now() + 40);
        assertEquals(List.of(TOO_MANY_REQUESTS), responses);
        assertEquals(
                "200 {\"uid\":\"run-2\",\"status\":\"pending\",\"done\":0,\"running\":0}",
                fixture.request("GET", "/submissions/run-2"));
    }

    @Test
    void aJobWithAttemptsRuns() {
        fixture.put("job/run-000007", Json.read(ProductionForms.bytes("wide.json")));
        assertEquals(
                "200 {\"uid\":\"run-000007\",\"status\":\"running\",\"done\":215,\"running\":1285}",
                fixture.request("GET", "/submissions/run-000007"));
    }
}
