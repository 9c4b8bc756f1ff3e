package org.spoolline.reconcile;

import org.spoolline.pipeline.AttemptId;

/** What the scheduler wants of stored attempts, beyond that each one runs on its machine. */
public interface DesiredState {
    /** The grace in seconds with which an attempt is to be stopped; null for those that are to go on. */
    Double graceOf(AttemptId attempt);

    /** False while a stored attempt is not to be launched yet. */
    boolean mayLaunch(AttemptId attempt);
}
