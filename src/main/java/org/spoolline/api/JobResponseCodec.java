package org.spoolline.api;

import org.spoolline.config.Constants;
import org.spoolline.job.JobReader;
import org.spoolline.job.TerminalRecord;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;

/**
 * Encodes every response of the API: status codes, texts and fields, in the order in which they are sent. Clients
 * depend on the exact bytes, so these change only with a new version of the protocol.
 */
final class JobResponseCodec {
    private static final String JOB_ID = "uid";
    private static final String STATUS = "status";
    private static final String COMPLETED_TASKS = "done";
    private static final String RUNNING_TASKS = "running";

    private static final String PENDING = "pending";
    private static final String RUNNING = "running";
    private static final String DONE = "done";
    private static final String CANCELLED = "aborted";

    private JobResponseCodec() {}

    /** A job that has just been accepted; it is already cancelled if one of its ancestors is cancelled. */
    static Http.Response accepted(Pipeline pipeline) {
        String status = pipeline.cancelled() ? CANCELLED : PENDING;
        return Http.Response.of(201, statusWithoutCounts(pipeline.jobId(), status));
    }

    /** The status of a job that is neither cancelled nor in a terminal state. */
    static Http.Response liveStatus(Pipeline pipeline) {
        int runningTasks = pipeline.attempts().size();
        String status = runningTasks > 0 ? RUNNING : PENDING;
        return Http.Response.of(200, status(pipeline.jobId(), status, pipeline.completedTasks(), runningTasks));
    }

    /**
     * The status of a job that is cancelled but not yet in a terminal state. It confirms the cancellation, so only
     * {@link CancellationConfirmer} permits it.
     */
    static Http.Response cancelled(String jobId) {
        return Http.Response.of(200, statusWithoutCounts(jobId, CANCELLED));
    }

    /** The status of a job in a terminal state. */
    static Http.Response terminalStatus(String jobId, TerminalRecord record) {
        String status = record.done() ? DONE : CANCELLED;
        return Http.Response.of(200, status(jobId, status, record.completedTasks(), 0));
    }

    /** A malformed submission; the message of the exception names the field. */
    static Http.Response malformed(SubmissionCodec.Malformed cause) {
        return error(400, "malformed: " + cause.getMessage());
    }

    /** A submission whose stored value would exceed {@code maxBytes}. */
    static Http.Response descriptionTooLong(int maxBytes) {
        return error(400, "malformed: the description is over " + maxBytes + " bytes");
    }

    /** A submission of a job that can never run. */
    static Http.Response unsatisfiable(Submission job, UnsatisfiableReason reason) {
        return error(422, reasonText(job, reason));
    }

    private static String reasonText(Submission job, UnsatisfiableReason reason) {
        return switch (reason) {
            case UNKNOWN_TEAM -> "unknown team " + job.team();
            case DEPENDS_ON_ITSELF -> "the job waits on itself";
            case EXCEEDS_TEAM_LIMIT -> "over the limit of team " + job.team();
            case NO_SUITABLE_MACHINE_TYPE -> "a task fits no allowed machine type";
            case GANG_IN_ONE_ZONE -> "a gang can't be spread over one zone";
            case GANG_TOO_LARGE -> "a gang of " + job.tasks() + " tasks doesn't fit one stored value";
            case DEPENDENCY_NEVER_DONE -> "waitsOn names a job that was never accepted, or a service";
        };
    }

    /** No job with this id was ever accepted, or the id is invalid. */
    static Http.Response noSuchJob() {
        return error(404, "no such job");
    }

    /** The path for submissions allows only POST. */
    static Http.Response usePost() {
        return error(405, "use POST");
    }

    /** The path of a job does not allow the method of the request. */
    static Http.Response methodNotAllowed() {
        return error(405, "method not allowed");
    }

    /** The request can't be served at present; asks the client to retry. */
    static Http.Response unavailable() {
        return new Http.Response(503, Json.error("not now"), Constants.Api.RETRY_AFTER_S);
    }

    /** This node's share of the store's rate limit is exhausted; asks the client to retry. */
    static Http.Response rateLimited() {
        return new Http.Response(429, Json.error("too many requests"), Constants.Api.RETRY_AFTER_S);
    }

    /** A job could not be read from the key-value store; asks the client to retry. */
    static Http.Response readFailed(JobReader.Failure failure) {
        return failure == JobReader.Failure.RATE_LIMITED ? rateLimited() : unavailable();
    }

    private static Http.Response error(int status, String text) {
        return Http.Response.of(status, Json.error(text));
    }

    private static byte[] status(String jobId, String status, int completedTasks, int runningTasks) {
        return Json.bytes(Json.object()
                .put(JOB_ID, jobId)
                .put(STATUS, status)
                .put(COMPLETED_TASKS, completedTasks)
                .put(RUNNING_TASKS, runningTasks));
    }

    private static byte[] statusWithoutCounts(String jobId, String status) {
        return Json.bytes(Json.object().put(JOB_ID, jobId).put(STATUS, status));
    }
}
