package org.spoolline.reconcile;

import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/**
 * The scheduler's decisions to stop a stored attempt or to delay its launch. Without such a decision a stored attempt
 * runs on its machine. Queried for each task of each heartbeat, so implementations don't allocate.
 */
public interface DesiredState {
    /** The grace period in seconds with which the attempt is to be stopped; empty when it is to continue. */
    OptionalDouble stopGraceS(AttemptId attempt);

    /** False while the launch of a stored attempt has to be delayed. */
    boolean mayLaunch(AttemptId attempt);
}
