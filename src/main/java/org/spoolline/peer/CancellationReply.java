package org.spoolline.peer;

/** What the leader replies when it is notified that the cancellation of a job is committed. */
public enum CancellationReply {
    /**
     * The replying node is the leader, holds its lease, and launches no task of the job from now on. No other node can
     * be the leader at that time, and a later leader reads the jobs after the cancellation was committed. So no launch
     * of the job's tasks is ordered after this reply.
     */
    ACKNOWLEDGED,
    /** The notified node can't promise that: for example, it is no longer the leader or has not read the jobs yet. */
    NOT_ACKNOWLEDGED,
    /** No reply was received, or no leader is known. The leader may still launch tasks of the job. */
    NO_REPLY
}
