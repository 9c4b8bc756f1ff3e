package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.node.ArrayNode;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/**
 * Upper bound of the size of a job's stored value. It covers every value that the job can have before its next
 * placement, while its attempts complete, fail or are lost, in any order, and when it is cancelled.
 *
 * <p>Attempts are only added while the bound is within the limit on values. So each of these values can be written.
 * The bound also counts a reserve for attempts, even if the job has none. When all attempts have ended, the value thus
 * has space for an attempt of the first unfinished task, which lies within the join's window and does not extend it.
 * Without that space, the job would never make progress again, since only the completion of this task shrinks the
 * window.
 */
final class StoredSizeBound {
    private StoredSizeBound() {}

    /** Returns the bound in bytes for a job without unsatisfied dependencies. */
    static int of(Pipeline job) {
        int bytesWithoutAttempts = Json.bytes(largestWithoutAttempts(job).encode()).length;
        int attemptsBytes = Math.max(attemptsBytes(job.taskAttempts()), Constants.StoredValue.ATTEMPTS_RESERVE_BYTES);
        return bytesWithoutAttempts + attemptsBytes + Constants.StoredValue.VALUE_SLACK_BYTES;
    }

    /**
     * Returns a copy of the job without its attempts, whose stored form is at least as long as any that the job can have
     * once its attempts have ended: the join has grown to the last placed task, tasks have failed on as many machines as
     * are remembered, and the job is cancelled.
     */
    private static Pipeline largestWithoutAttempts(Pipeline job) {
        TaskAttempts attempts = job.taskAttempts();
        int machineNameBytes =
                Math.max(attempts.longestMachineName(), job.retry().longestMachineName());
        Pipeline largest = new Pipeline(
                job.storedSubmission(),
                job.submittedAt(),
                job.eligibleAt(),
                JobFlow.taskFailed(job.enactment()),
                job.join().grownTo(attempts.highestTask()),
                new TaskAttempts(attempts.highestNumberOnceEnded()),
                RetryState.largest(machineNameBytes));
        largest.cancel();
        return largest;
    }

    /**
     * Size of the attempts' stored form. It contains the difference of each attempt's number to the highest one, which
     * grows when an attempt with the highest number is lost.
     */
    private static int attemptsBytes(TaskAttempts attempts) {
        ArrayNode stored = AttemptsCodec.encode(attempts.listed(), attempts.highestNumberOnceEnded());
        return Json.bytes(stored).length;
    }
}
