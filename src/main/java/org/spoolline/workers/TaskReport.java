package org.spoolline.workers;

/** One task as its machine reports it. {@code cause} is null until it has exited. */
public record TaskReport(String uid, int task, long attempt, Phase phase, Cause cause, boolean saved) {

    /** What the task is doing. */
    public enum Phase { FETCHING, GATHERING, RUNNING, SAVING, EXITED }

    /** Why it ended. */
    public enum Cause { DONE, STOPPED, PEERS_GONE, ALONE, ERROR, NO_ROOM, BUSY, UNKNOWN }
}
