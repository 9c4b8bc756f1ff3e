package org.spoolline.reconcile;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/** The attempts that are to be stopped, each with the grace in which it may save a checkpoint. */
public final class StopRequests {
    private static final OptionalDouble NOT_STOPPED = OptionalDouble.empty();

    /** Grace in seconds by attempt, by job; kept as the value that is returned so that queries don't allocate. */
    private final Map<String, Map<AttemptId, OptionalDouble>> graceByJob = new HashMap<>();

    /** Requests that an attempt is stopped with this grace in seconds; replaces an earlier request. */
    public void request(AttemptId attemptId, double graceS) {
        graceByJob.computeIfAbsent(attemptId.jobId(), key -> new HashMap<>()).put(attemptId, OptionalDouble.of(graceS));
    }

    /** The grace in seconds with which an attempt is to be stopped; empty for one that is to continue. */
    OptionalDouble graceOf(AttemptId attemptId) {
        Map<AttemptId, OptionalDouble> graceByAttempt = graceByJob.get(attemptId.jobId());
        return graceByAttempt == null ? NOT_STOPPED : graceByAttempt.getOrDefault(attemptId, NOT_STOPPED);
    }

    /** True when the attempt is to be stopped. */
    boolean contains(AttemptId attemptId) {
        return graceOf(attemptId).isPresent();
    }

    /** True when some attempt of the job is to be stopped. */
    boolean containsJob(String jobId) {
        return graceByJob.containsKey(jobId);
    }

    /** Withdraws all requests for the job's attempts. */
    void removeJob(String jobId) {
        graceByJob.remove(jobId);
    }

    /** Withdraws all requests. */
    void clear() {
        graceByJob.clear();
    }
}
