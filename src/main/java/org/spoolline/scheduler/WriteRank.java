package org.spoolline.scheduler;

/** Rank of a pending write. Writes are sent in the order of these constants until the write budget is used up. */
enum WriteRank {
    /** Has waited for longer than {@code WRITE_STARVATION_MS} and is sent first, so that no job starves. */
    STARVED,
    /** Launches tasks of a job of priority urgent or higher. */
    URGENT_LAUNCHES,
    /** Moves the job to a terminal state, for which its user waits. */
    TERMINAL,
    /** Launches tasks of a job of a lower priority. */
    LAUNCHES,
    /** Only records that tasks have ended. It can wait, so that several completions of an array job share one write. */
    COMPLETIONS_ONLY,
    /** The last write of the job conflicted or was rejected. It is sent last, so that it does not delay other jobs. */
    ISOLATED
}
