package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import java.util.LinkedHashSet;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/**
 * Converts a pipeline to and from the stored value of its job. Controllers of other versions read the values that this
 * version writes, so the names, order and meaning of the fields must not change. Unknown fields are ignored. A stored
 * value has one of three versions:
 *
 * <ul>
 *   <li>{@link Constants.Job#PIPELINE_VERSION}: a job whose tasks may run, with its attempts as bit strings ({@link
 *       AttemptsCodec});
 *   <li>{@link Constants.Job#PIPELINE_VERSION_DEPENDENT}: a job without listed attempts, because it waits for
 *       dependencies or is cancelled with unlisted attempts;
 *   <li>{@link Constants.Job#PIPELINE_VERSION_LEGACY}: a job with its attempts as text. This version is only read; the
 *       next write of the job's value uses the current version.
 * </ul>
 */
final class PipelineCodec {
    private static final String VERSION = "ver";
    private static final String SUBMISSION = "job";
    private static final String ELIGIBLE_AT = "at";
    /** Omitted if the job was already eligible when it was submitted. */
    private static final String SUBMITTED_AT = "sub";

    private static final String CANCELLED = "cancelled";
    private static final String UNLISTED_ATTEMPTS = "unlisted";
    private static final String ENACTMENT = "k";
    private static final String COMPLETED_BELOW = "low";
    private static final String COMPLETED_WINDOW = "win";
    private static final String HIGHEST_ATTEMPT_NUMBER = "n";
    private static final String ATTEMPTS = "on";
    private static final String FAILURES = "fails";
    private static final String AVOIDED_MACHINES = "avoid";
    private static final String NOT_BEFORE = "notBefore";

    private PipelineCodec() {}

    /** Returns the stored form of a pipeline. */
    static ObjectNode encode(Pipeline pipeline) {
        int unlisted = pipeline.unlistedAttempts();
        boolean withoutTaskState = pipeline.hasUnsatisfiedDependencies() || unlisted > 0;
        ObjectNode value = Json.object()
                .put(
                        VERSION,
                        withoutTaskState ? Constants.Job.PIPELINE_VERSION_DEPENDENT : Constants.Job.PIPELINE_VERSION);
        value.set(SUBMISSION, pipeline.storedSubmission().encoded());
        value.put(ELIGIBLE_AT, pipeline.eligibleAt());
        if (pipeline.cancelled()) {
            value.put(CANCELLED, true);
        }
        if (unlisted > 0) {
            value.put(UNLISTED_ATTEMPTS, unlisted);
        }
        if (!withoutTaskState) {
            encodeTaskState(pipeline, value);
        }
        return value;
    }

    private static void encodeTaskState(Pipeline pipeline, ObjectNode value) {
        if (pipeline.submittedAt() != pipeline.eligibleAt()) {
            value.put(SUBMITTED_AT, pipeline.submittedAt());
        }
        value.set(ENACTMENT, ContinuationStackCodec.encode(pipeline.enactment()));
        encodeJoin(pipeline.join(), value);
        encodeAttempts(pipeline.taskAttempts(), value);
        encodeRetry(pipeline.retry(), value);
    }

    private static void encodeJoin(TaskJoin join, ObjectNode value) {
        value.put(COMPLETED_BELOW, join.completedBelow());
        if (!join.isWindowEmpty()) {
            value.put(COMPLETED_WINDOW, Base64.getEncoder().withoutPadding().encodeToString(join.windowBytes()));
        }
    }

    private static void encodeAttempts(TaskAttempts attempts, ObjectNode value) {
        value.put(HIGHEST_ATTEMPT_NUMBER, attempts.highestNumber());
        if (!attempts.listed().isEmpty()) {
            value.set(ATTEMPTS, AttemptsCodec.encode(attempts.listed(), attempts.highestNumber()));
        }
    }

    private static void encodeRetry(RetryState retry, ObjectNode value) {
        if (retry.failures() > 0) {
            value.put(FAILURES, retry.failures());
            ArrayNode avoided = value.putArray(AVOIDED_MACHINES);
            retry.avoidedMachines().forEach(avoided::add);
        }
        if (retry.notBefore() > 0) {
            value.put(NOT_BEFORE, retry.notBefore());
        }
    }

    /**
     * Decodes a stored value of any version that was ever written.
     *
     * @throws IllegalArgumentException if the value is damaged or of an unknown version
     */
    static Pipeline decode(JsonNode value) {
        int version = value.path(VERSION).asInt();
        return switch (version) {
            case Constants.Job.PIPELINE_VERSION_DEPENDENT -> decodeWithoutTaskState(value);
            case Constants.Job.PIPELINE_VERSION, Constants.Job.PIPELINE_VERSION_LEGACY -> decodeWithTaskState(
                    value, version);
            default -> throw new IllegalArgumentException("pipeline value of unknown version " + value.path(VERSION));
        };
    }

    /** True if a stored value is that of a cancelled job; the rest of the value is not decoded. */
    static boolean isCancelled(JsonNode value) {
        return value.path(CANCELLED).asBoolean();
    }

    private static Pipeline decodeWithTaskState(JsonNode value, int version) {
        long eligibleAt = value.path(ELIGIBLE_AT).asLong();
        Pipeline pipeline = new Pipeline(
                EncodedSubmission.decode(value.path(SUBMISSION)),
                value.path(SUBMITTED_AT).asLong(eligibleAt),
                eligibleAt,
                ContinuationStackCodec.decode(value.path(ENACTMENT)),
                decodeJoin(value),
                decodeAttempts(value, version),
                decodeRetry(value));
        if (isCancelled(value)) {
            pipeline.cancel();
        }
        return pipeline;
    }

    /**
     * Decodes a job whose value has no task state: either a job that waits for dependencies, of which only the
     * submission is stored because its state is derived from other jobs, or a cancelled job with unlisted attempts.
     */
    private static Pipeline decodeWithoutTaskState(JsonNode value) {
        Pipeline pipeline = Pipeline.accept(
                EncodedSubmission.decode(value.path(SUBMISSION)),
                value.path(ELIGIBLE_AT).asLong());
        pipeline.taskAttempts().setUnlisted(value.path(UNLISTED_ATTEMPTS).asInt());
        if (isCancelled(value)) {
            pipeline.cancel();
        }
        if (!pipeline.hasUnsatisfiedDependencies() && pipeline.unlistedAttempts() <= 0) {
            throw new IllegalArgumentException(
                    "stored pipeline without task state has neither dependencies nor unlisted attempts");
        }
        return pipeline;
    }

    private static TaskJoin decodeJoin(JsonNode value) {
        byte[] window = Base64.getDecoder().decode(value.path(COMPLETED_WINDOW).asText(""));
        return new TaskJoin(value.path(COMPLETED_BELOW).asInt(), BitSet.valueOf(window));
    }

    private static TaskAttempts decodeAttempts(JsonNode value, int version) {
        long highestNumber = value.path(HIGHEST_ATTEMPT_NUMBER).asLong();
        TaskAttempts attempts = new TaskAttempts(highestNumber);
        JsonNode stored = value.path(ATTEMPTS);
        if (version == Constants.Job.PIPELINE_VERSION_LEGACY) {
            decodeLegacyAttempts(stored, attempts);
        } else {
            AttemptsCodec.decode(stored, highestNumber, attempts::add);
        }
        return attempts;
    }

    private static RetryState decodeRetry(JsonNode value) {
        LinkedHashSet<String> avoided = new LinkedHashSet<>();
        value.path(AVOIDED_MACHINES).forEach(machine -> avoided.add(machine.asText()));
        return new RetryState(
                value.path(FAILURES).asInt(), value.path(NOT_BEFORE).asLong(), avoided);
    }

    /**
     * Decodes attempts in the legacy form: each group is an array of a machine, its incarnation, an attempt number and
     * a list of tasks such as {@code "0-2,7"}.
     */
    private static void decodeLegacyAttempts(JsonNode groups, TaskAttempts attempts) {
        for (JsonNode group : groups) {
            String machine = group.path(0).asText();
            long incarnation = group.path(1).asLong();
            long number = group.path(2).asLong();
            for (String range : group.path(3).asText().split(",")) {
                int dash = range.indexOf('-');
                int first = Integer.parseInt(dash < 0 ? range : range.substring(0, dash));
                int last = dash < 0 ? first : Integer.parseInt(range.substring(dash + 1));
                for (int task = first; task <= last; task++) {
                    attempts.add(new Attempt(task, number, machine, incarnation));
                }
            }
        }
    }
}
