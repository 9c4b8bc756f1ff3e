package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.SettingsException;
import org.spoolline.pipeline.SubmissionCodec;

/** Exact responses to requests that are malformed, unsatisfiable or can't be served at present. */
class JobApiRequestsTest {
    private static final String NO_SUCH_JOB = "404 {\"error\":\"no such job\"}";
    private static final String METHOD_NOT_ALLOWED = "405 {\"error\":\"method not allowed\"}";
    private static final String UNAVAILABLE = "503 retry-after=1 {\"error\":\"not now\"}";
    private static final String TOO_MANY_REQUESTS = "429 retry-after=1 {\"error\":\"too many requests\"}";

    private JobApiFixture fixture;

    @BeforeEach
    void createFixture() throws SettingsException {
        fixture = JobApiFixture.ready();
    }

    private static String malformed(String reason) {
        return "400 {\"error\":\"malformed: " + reason + "\"}";
    }

    private static String unsatisfiable(String reason) {
        return "422 {\"error\":\"" + reason + "\"}";
    }

    private void assertSubmissionResponse(String response, String... fields) {
        assertEquals(response, fixture.submit(JobApiFixture.submission(fields)), abbreviate(fields));
    }

    private static String abbreviate(String... fields) {
        String joined = String.join(" ", fields);
        return joined.substring(0, Math.min(200, joined.length()));
    }

    @Test
    void servesOnlySubmissionPaths() {
        assertTrue(JobApi.serves("/submissions"));
        assertTrue(JobApi.serves("/submissions/"));
        assertTrue(JobApi.serves("/submissions/run-1/abort"));
        assertFalse(JobApi.serves("/submissionsx"));
        assertFalse(JobApi.serves("/submission"));
    }

    @Test
    void rejectsMethodsThatAreNotAllowed() {
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
    void respondsNotFoundToInvalidJobIdsForEveryMethod() {
        List<String> invalidIds =
                List.of("", "run-", "run-x", "RUN-1", "run-1 ", "run-1/", "run-1/x", "run--1", "abort");
        for (String jobId : invalidIds) {
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
    void respondsNotFoundForJobsNeverAccepted() {
        assertEquals(NO_SUCH_JOB, fixture.request("GET", "/submissions/run-9"));
        assertEquals(NO_SUCH_JOB, fixture.request("POST", "/submissions/run-9/abort"));
    }

    @Test
    void rejectsBodiesThatAreNotJsonObjects() {
        for (String body : List.of("", "[]", "null", "7", "{", "\u0000")) {
            assertEquals(
                    malformed("the body is not a JSON object"),
                    fixture.request("POST", "/submissions", body.getBytes(StandardCharsets.UTF_8)),
                    body);
        }
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void namesFirstMalformedField() {
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
            assertSubmissionResponse(malformed(field), field, null);
            assertSubmissionResponse(malformed(field), field, "null");
            assertSubmissionResponse(malformed(field), field, "[]");
        }
        assertSubmissionResponse(malformed("builds"), "builds", "[]");
        assertSubmissionResponse(malformed("builds"), "builds", "\"small\"");
        assertSubmissionResponse(malformed("yard"), "yard", "\"\"");
        assertSubmissionResponse(malformed("dueS"), "dueS", "-1");
        assertSubmissionResponse(malformed("waitsOn"), "waitsOn", "[\"odd\"]");
        assertSubmissionResponse(malformed("waitsOn"), "waitsOn", "{}");
        assertSubmissionResponse(malformed("slips"), "slips", "100001");
        assertSubmissionResponse(malformed("lane"), "lane", "\"" + "x".repeat(201) + "\"");
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void rejectsDescriptionsOverValueLimit() {
        assertSubmissionResponse("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", "builds", machineTypes(100));
        assertSubmissionResponse(
                malformed("the description is over 4096 bytes"), "uid", "\"run-2\"", "builds", machineTypes(400));
        assertSubmissionResponse(
                malformed("the description is over 6963 bytes"),
                "uid",
                "\"run-3\"",
                "builds",
                machineTypes(400),
                "waitsOn",
                "[\"run-1\"]");
    }

    /**
     * The value of a dependent job loses the names of its dependencies before it gets attempts, and must have space for
     * them then.
     */
    @Test
    void rejectsDependentJobsWithoutSpaceForAttempts() throws Exception {
        fixture = JobApiFixture.ready("[cluster.state.next]\nvalue_kb = 2.0\n");
        fixture.accept(JobApiFixture.submission());
        assertSubmissionResponse(
                "201 {\"uid\":\"run-2\",\"status\":\"pending\"}",
                "uid",
                "\"run-2\"",
                "builds",
                machineTypes(40),
                "waitsOn",
                "[\"run-1\"]");
        String response = fixture.submit(
                JobApiFixture.submission("uid", "\"run-3\"", "builds", machineTypes(56), "waitsOn", "[\"run-1\"]"));
        Matcher bound = Pattern.compile(".*over ([0-9]+) bytes.*").matcher(response);
        assertTrue(response.startsWith("400 ") && bound.matches(), response);
        assertTrue(Integer.parseInt(bound.group(1)) < 2_048 * 0.85, response);
    }

    private static String machineTypes(int count) {
        StringBuilder types = new StringBuilder("[\"small\"");
        for (int i = 0; i < count; i++) {
            types.append(",\"unknown-machine-type-").append(i).append('"');
        }
        return types.append(']').toString();
    }

    @Test
    void rejectsUnsatisfiableJobs() {
        assertSubmissionResponse(unsatisfiable("unknown team nobody"), "desk", "\"nobody\"", "waitsOn", "[\"run-1\"]");
        assertSubmissionResponse(
                unsatisfiable("the job waits on itself"), "waitsOn", "[\"run-2\",\"run-1\"]", "cores", "40");
        assertSubmissionResponse(unsatisfiable("over the limit of team t"), "cores", "12.1");
        assertSubmissionResponse(unsatisfiable("over the limit of team t"), "accelerators", "2");
        assertSubmissionResponse(unsatisfiable("over the limit of team t"), "shape", "\"group\"", "slips", "13");
        assertSubmissionResponse(unsatisfiable("a task fits no allowed machine type"), "memGb", "65");
        assertSubmissionResponse(unsatisfiable("a task fits no allowed machine type"), "yard", "\"c\"");
        assertSubmissionResponse(unsatisfiable("a task fits no allowed machine type"), "builds", "[\"unknown\"]");
        assertSubmissionResponse(
                unsatisfiable("a task fits no allowed machine type"), "builds", "[\"small\"]", "cores", "5");
        assertGangInOneZoneRejected("samePlace", "true");
        assertGangInOneZoneRejected("yard", "\"b\"");
        assertGangInOneZoneRejected("builds", "[\"large\"]");
        assertFalse(fixture.storeRequests.contains("POST /commit"), "no rejected job may be committed");
    }

    private void assertGangInOneZoneRejected(String field, String value) {
        String reason = "a gang can't be spread over one zone";
        assertSubmissionResponse(
                unsatisfiable(reason), "shape", "\"group\"", "slips", "2", "scatter", "true", field, value);
    }

    @Test
    void acceptsJobsExactlyAtLimits() {
        assertSubmissionResponse("201 {\"uid\":\"run-1\",\"status\":\"pending\"}", "cores", "12.0");
        assertSubmissionResponse(
                "201 {\"uid\":\"run-2\",\"status\":\"pending\"}",
                "uid",
                "\"run-2\"",
                "shape",
                "\"group\"",
                "slips",
                "12",
                "scatter",
                "true");
        assertSubmissionResponse(
                "201 {\"uid\":\"run-3\",\"status\":\"pending\"}", "uid", "\"run-3\"", "slips", "100000");
        assertSubmissionResponse(
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

    /** The settings or machine types may change after a job is accepted; submitting it again must return its status. */
    @Test
    void resubmissionOfAcceptedJobIsNotRejected() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission());
        String status = "200 {\"uid\":\"run-1\",\"status\":\"pending\",\"done\":0,\"running\":0}";
        assertSubmissionResponse(status);
        assertSubmissionResponse(status, "desk", "\"nobody\"");
        assertSubmissionResponse(status, "builds", machineTypes(400));
        assertSubmissionResponse(malformed("cores"), "cores", "0");
    }

    @Test
    void rejectsDependenciesThatCanNeverBeSatisfied() throws SubmissionCodec.Malformed {
        fixture.accept(JobApiFixture.submission("uid", "\"run-7\"", "shape", "\"standing\""));
        String reason = "waitsOn names a job that was never accepted, or a service";
        assertSubmissionResponse(unsatisfiable(reason), "waitsOn", "[\"run-7\"]");
        assertSubmissionResponse(unsatisfiable(reason), "waitsOn", "[\"run-8\"]");
    }

    @Test
    void respondsUnavailableWhileMachineTypesAreUnknown() throws SettingsException {
        fixture = new JobApiFixture();
        assertSubmissionResponse(UNAVAILABLE);
        assertSubmissionResponse(UNAVAILABLE, "desk", "\"nobody\"");
        assertSubmissionResponse(malformed("uid"), "uid", null);
        assertEquals(List.of(), fixture.storeRequests);
    }

    @Test
    void respondsUnavailableWhileStoreIsUnreachable() {
        fixture.storeReachable = false;
        assertSubmissionResponse(UNAVAILABLE);
        assertSubmissionResponse(UNAVAILABLE, "desk", "\"nobody\"");
        assertSubmissionResponse(UNAVAILABLE, "waitsOn", "[\"run-8\"]");
        assertEquals(UNAVAILABLE, fixture.request("GET", "/submissions/run-1"));
        assertEquals(UNAVAILABLE, fixture.request("POST", "/submissions/run-1/abort"));
        assertSubmissionResponse(malformed("uid"), "uid", null);
    }

    @Test
    void respondsTooManyRequestsWhenRequestBudgetIsSpent() {
        fixture.spendRequestBudget();
        assertSubmissionResponse(TOO_MANY_REQUESTS);
        assertSubmissionResponse(TOO_MANY_REQUESTS, "desk", "\"nobody\"");
        assertEquals(TOO_MANY_REQUESTS, fixture.request("GET", "/submissions/run-1"));
        assertEquals(TOO_MANY_REQUESTS, fixture.request("POST", "/submissions/run-1/abort"));
        assertSubmissionResponse(malformed("uid"), "uid", null);
        assertEquals(List.of(), fixture.storeRequests);
        assertSubmissionResponse(TOO_MANY_REQUESTS, "waitsOn", "[\"run-8\"]");
        assertEquals(1, fixture.storeRequests.size(), "only the version records are read");
    }
}
