package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.SettingsException;
import org.spoolline.pipeline.SubmissionCodec;

/** Responses to requests that are malformed, can never be satisfied or can't be answered now, byte by byte. */
class JobApiRequestsTest {
    private static final String NO_SUCH_JOB = "404 {\"error\":\"no such job\"}";
    private static final String METHOD_NOT_ALLOWED = "405 {\"error\":\"method not allowed\"}";
    private static final String NOT_NOW = "503 retry-after=1 {\"error\":\"not now\"}";
    private static final String TOO_MANY_REQUESTS = "429 retry-after=1 {\"error\":\"too many requests\"}";

    private JobApiFixture fixture;

    @BeforeEach
    void create() throws SettingsException {
        fixture = JobApiFixture.ready();
    }

    private static String malformed(String what) {
        return "400 {\"error\":\"malformed: " + what + "\"}";
    }

    private static String neverRuns(String why) {
        return "422 {\"error\":\"" + why + "\"}";
    }

    private void expect(String response, String... fields) {
        assertEquals(response, fixture.submit(JobApiFixture.submission(fields)), shortened(fields));
    }

    private static String shortened(String... fields) {
        String all = String.join(" ", fields);
        return all.substring(0, Math.min(200, all.length()));
    }

    @Test
    void pathsOfTheApi() {
        assertTrue(JobApi.serves("/submissions"));
        assertTrue(JobApi.serves("/submissions/"));
        assertTrue(JobApi.serves("/submissions/run-1/abort"));
        assertFalse(JobApi.serves("/submissionsx"));
        assertFalse(JobApi.serves("/submission"));
    }

    @Test
    void methodsThatAreNotAllowed() {
        for (String method : List.of("GET", "PUT", "DELETE", "HEAD", "post")) {
            assertEquals("405 {\"error\":\"use POST\"}", fixture.request(method, "/submissions"), method);
        }
        for (String method : List.of("POST", "PUT", "DELETE", "HEAD", "get")) {
            assertEquals(METHOD_NOT_ALLOWED, fixture.request(method, "/submissions/run-1"), method);
        }
        for (String method : List.of("GET", "PUT", "DELETE", "HEAD", "post")) {
            assertEquals(METHOD_NOT_ALLOWED, fixture.request(method, "/submissions/run-1/abort"), method);
        }
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void idsThatNoJobCanHaveAreUnknownWhateverTheMethod() {
        List<String> odd = List.of("", "run-", "run-x", "RUN-1", "run-1 ", "run-1/", "run-1/x", "run--1", "abort");
        for (String jobId : odd) {
            for (String method : List.of("GET", "POST", "PUT")) {
                assertEquals(NO_SUCH_JOB, fixture.request(method, "/submissions/" + jobId), jobId);
                assertEquals(NO_SUCH_JOB, fixture.request(method, "/submissions/" + jobId + "/abort"), jobId);
            }
        }
        assertEquals(NO_SUCH_JOB, fixture.request("GET", "/submissions/run-" + "1".repeat(31)));
        assertEquals(NO_SUCH_JOB, fixture.request("POST", "/submissions/run-1/abort/abort"));
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void jobsThatWereNeverAcceptedAreUnknown() {
        assertEquals(NO_SUCH_JOB, fixture.request("GET", "/submissions/run-9"));
        assertEquals(NO_SUCH_JOB, fixture.request("POST", "/submissions/run-9/abort"));
    }

    @Test
    void bodiesThatAreNoObject() {
        for (String body : List.of("", "[]", "null", "7", "{", "\u0000")) {
            assertEquals(
                    malformed("the body is not a JSON object"),
                    fixture.request("POST", "/submissions", body.getBytes(StandardCharsets.UTF_8)),
                    body);
        }
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void theFirstMalformedFieldIsNamed() {
        List<String> required = List.of(
                "uid",
                "shape",
                "urgency",
                "slips",
                "cores",
                "lane",
                "desk",
                "accelerators",
                "memGb",
                "plate",
                "imageGb",
                "samePlace",
                "scatter",
                "standby",
                "expectS",
                "bookmarkS",
                "stashS");
        for (String field : required) {
            expect(malformed(field), field, null);
            expect(malformed(field), field, "null");
            expect(malformed(field), field, "[]");
        }
        expect(malformed("builds"), "builds", "[]");
        expect(malformed("builds"), "builds", "\"small\"");
        expect(malformed("yard"), "yard", "\"\"");
        expect(malformed("dueS"), "dueS", "-1");
        expect(malformed("waitsOn"), "waitsOn", "[\"odd\"]");
        expect(malformed("waitsOn"), "waitsOn", "{}");
        expect(malformed("slips"), "slips", "100001");
        expect(malformed("lane"), "lane", "\"" + "x".repeat(201) + "\"");
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void descriptionsThatNoValueHolds() {
        expect("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", "builds", machineTypes(100));
        expect(malformed("the description is over 4096 bytes"), "uid", "\"run-2\"", "builds", machineTypes(400));
        expect(
                malformed("the description is over 6963 bytes"),
                "uid",
                "\"run-3\"",
                "builds",
                machineTypes(400),
                "waitsOn",
                "[\"run-1\"]");
    }

    private static String machineTypes(int count) {
        StringBuilder types = new StringBuilder("[\"small\"");
        for (int i = 0; i < count; i++) {
            types.append(",\"unknown-machine-type-").append(i).append('"');
        }
        return types.append(']').toString();
    }

    @Test
    void jobsThatCanNeverRun() {
        expect(neverRuns("unknown team nobody"), "desk", "\"nobody\"", "waitsOn", "[\"run-1\"]");
        expect(neverRuns("the job waits on itself"), "waitsOn", "[\"run-2\",\"run-1\"]", "cores", "40");
        expect(neverRuns("over the limit of team t"), "cores", "12.1");
        expect(neverRuns("over the limit of team t"), "accelerators", "2");
        expect(neverRuns("over the limit of team t"), "shape", "\"group\"", "slips", "13");
        expect(neverRuns("a task fits no allowed machine type"), "memGb", "65");
        expect(neverRuns("a task fits no allowed machine type"), "yard", "\"c\"");
        expect(neverRuns("a task fits no allowed machine type"), "builds", "[\"unknown\"]");
        expect(neverRuns("a task fits no allowed machine type"), "builds", "[\"small\"]", "cores", "5");
        expectGangOverOneZone("samePlace", "true");
        expectGangOverOneZone("yard", "\"b\"");
        expectGangOverOneZone("builds", "[\"large\"]");
        assertFalse(fixture.storeRequests.contains("POST /commit"), "something was committed");
    }

    private void expectGangOverOneZone(String field, String value) {
        String why = "a gang can't be spread over one zone";
        expect(neverRuns(why), "shape", "\"group\"", "slips", "2", "scatter", "true", field, value);
    }

    @Test
    void limitsThatAreJustMet() {
        expect("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", "cores", "12.0");
        expect(
                "201 {\"uid\":\"run-2\",\"status\":\"pending\"}",
                "uid",
                "\"run-2\"",
                "shape",
                "\"group\"",
                "slips",
                "12",
                "scatter",
                "true");
        expect("201 {\"uid\":\"run-3\",\"status\":\"pending\"}", "uid", "\"run-3\"", "slips", "100000");
        expect(
                "201 {\"uid\":\"run-4\",\"status\":\"pending\"}",
                "uid",
                "\"run-4\"",
                "shape",
                "\"group\"",
                "slips",
                "1",
                "scatter",
                "true",
                "samePlace",
                "true");
    }

    /** What this node thinks of a job now does not count once the job is accepted. */
    @Test
    void anAcceptedJobIsNotRejectedWhenItIsSubmittedAgain() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        String status = "200 {\"uid\":\"run-1\",\"status\":\"pending\",\"done\":0,\"running\":0}";
        expect(status);
        expect(status, "desk", "\"nobody\"");
        expect(status, "builds", machineTypes(400));
        expect(malformed("cores"), "cores", "0");
    }

    @Test
    void dependenciesThatCanNeverBeDone() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission("uid", "\"run-7\"", "shape", "\"standing\""));
        String why = "waitsOn names a job that was never accepted, or a service";
        expect(neverRuns(why), "waitsOn", "[\"run-7\"]");
        expect(neverRuns(why), "waitsOn", "[\"run-8\"]");
    }

    @Test
    void withoutMachineTypesNothingIsAccepted() throws SettingsException {
        fixture = new JobApiFixture();
        expect(NOT_NOW);
        expect(NOT_NOW, "desk", "\"nobody\"");
        expect(malformed("uid"), "uid", null);
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void withoutAKeyValueStoreRequestsAreToComeAgain() {
        fixture.storeReachable = false;
        expect(NOT_NOW);
        expect(NOT_NOW, "desk", "\"nobody\"");
        expect(NOT_NOW, "waitsOn", "[\"run-8\"]");
        assertEquals(NOT_NOW, fixture.request("GET", "/submissions/run-1"));
        assertEquals(NOT_NOW, fixture.request("POST", "/submissions/run-1/abort"));
        expect(malformed("uid"), "uid", null);
    }

    @Test
    void withoutBudgetRequestsAreToComeAgain() {
        fixture.spendBudget();
        expect(TOO_MANY_REQUESTS);
        expect(TOO_MANY_REQUESTS, "desk", "\"nobody\"");
        assertEquals(TOO_MANY_REQUESTS, fixture.request("GET", "/submissions/run-1"));
        assertEquals(TOO_MANY_REQUESTS, fixture.request("POST", "/submissions/run-1/abort"));
        expect(malformed("uid"), "uid", null);
        assertEquals(List.of(), fixture.storeRequests);
        expect(TOO_MANY_REQUESTS, "waitsOn", "[\"run-8\"]");
        assertEquals(1, fixture.storeRequests.size(), "only the controllers' versions are read");
    }
}
