package org.spoolline.workers;

/** One task as its machine reports it. {@code cause} is null until it has exited. */
public record TaskReport(String uid, int task, long attempt, Phase phase, Cause cause, boolean saved) {

    /** Written out, see {@link org.spoolline.pipeline.Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskReport t
                && task == t.task
                && attempt == t.attempt
                && phase == t.phase
                && cause == t.cause
                && saved == t.saved
                && uid.equals(t.uid);
    }

    @Override
    public int hashCode() {
        return (uid.hashCode() * 31 + task) * 31 + Long.hashCode(attempt);
    }

    /** What the task is doing. */
    public enum Phase {
        FETCHING,
        GATHERING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** Why it ended. */
    public enum Cause {
        DONE,
        STOPPED,
        PEERS_GONE,
        ALONE,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN
    }
}
