package org.spoolline.reconcile;

import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/**
 * The scheduler's decisions about stored attempts, beyond that each one runs on its machine. Queried for each task of each
 * heartbeat, so implementations don't allocate.
 */
public interface DesiredState {
    /** The grace in seconds with which an attempt is to be stopped; empty for one that is to continue. */
    OptionalDouble graceOf(AttemptId attempt);

    /** False while a stored attempt is not to be launched yet. */
    boolean mayLaunch(AttemptId attempt);
}
