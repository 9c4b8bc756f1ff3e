package org.spoolline.reconcile;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/** The attempts that are to be stopped, each with the grace period in which it may save a checkpoint. */
public final class StopRequests {
    private static final OptionalDouble NOT_STOPPED = OptionalDouble.empty();

    /**
     * Grace period in seconds by job and attempt. The map holds the objects that queries return, so that queries
     * don't allocate.
     */
    private final Map<String, Map<AttemptId, OptionalDouble>> graceByJob = new HashMap<>();

    /** Requests the stop of an attempt with this grace period in seconds; replaces an earlier request. */
    public void request(AttemptId attemptId, double graceS) {
        graceByJob.computeIfAbsent(attemptId.jobId(), key -> new HashMap<>()).put(attemptId, OptionalDouble.of(graceS));
    }

    /** The grace period in seconds of the attempt's stop request; empty when no stop is requested. */
    OptionalDouble stopGraceS(AttemptId attemptId) {
        Map<AttemptId, OptionalDouble> graceByAttempt = graceByJob.get(attemptId.jobId());
        return graceByAttempt == null ? NOT_STOPPED : graceByAttempt.getOrDefault(attemptId, NOT_STOPPED);
    }

    /** True when the stop of the attempt is requested. */
    boolean contains(AttemptId attemptId) {
        return stopGraceS(attemptId).isPresent();
    }

    /** True when the stop of at least one attempt of the job is requested. */
    boolean containsJob(String jobId) {
        return graceByJob.containsKey(jobId);
    }

    /** Removes all requests for the job's attempts. */
    void removeJob(String jobId) {
        graceByJob.remove(jobId);
    }

    /** Removes all requests. */
    void clear() {
        graceByJob.clear();
    }
}
