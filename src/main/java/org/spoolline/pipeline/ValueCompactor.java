package org.spoolline.pipeline;

import java.util.Set;

/**
 * Makes the stored value of a job smaller, for values of earlier versions that are too large to be written or have no
 * space for an attempt.
 */
public final class ValueCompactor {
    private ValueCompactor() {}

    /** Size of the job's stored description in bytes. */
    public static int descriptionBytes(Pipeline job) {
        return job.storedSubmission().bytes();
    }

    /**
     * Shortens the stored description, without changing where, when or how the tasks may run.
     *
     * @param existingTypes names of the machine types that the cloud offers; not needed if the job is cancelled
     * @return true if the description got shorter
     */
    public static boolean shortenDescription(Pipeline job, Set<String> existingTypes) {
        Submission submission = job.spec();
        // The tasks of a cancelled job are never placed again.
        Set<String> machineTypes =
                job.cancelled() ? null : ShortDescription.existingTypes(submission.machineTypes(), existingTypes);
        EncodedSubmission shortened = EncodedSubmission.of(ShortDescription.of(submission, machineTypes));
        if (shortened.bytes() >= descriptionBytes(job)) {
            return false;
        }
        job.replaceStoredSubmission(shortened);
        return true;
    }

    /**
     * Forgets the completions of the last completed tasks of a job without attempts. These tasks are placed again and
     * end at once, because workers keep the results of completed tasks.
     *
     * @param excessBytes number of bytes by which the value should shrink
     * @return the number of completions forgotten; 0 if the value can't shrink any further
     */
    public static int forgetLastCompletions(Pipeline job, int excessBytes) {
        if (!job.attempts().isEmpty()) {
            throw new IllegalStateException(job.jobId() + ": only a job without attempts can forget completions");
        }
        int forgotten = job.join().forgetLast(excessBytes);
        if (forgotten > 0) {
            // The forgotten tasks must not get the numbers of their earlier attempts again.
            job.taskAttempts().skipNumber();
        }
        return forgotten;
    }
}
