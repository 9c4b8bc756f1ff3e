package org.spoolline.reconcile;

import org.spoolline.pipeline.Attempt;

/** The leader's decisions about one job and its team that are not part of the job's committed value. */
public interface EarlierDecisions {
    /**
     * True when an earlier cycle has released the attempt, that is, decided that it ended, and the stored value still
     * lists it. The capacity of the attempt may have been assigned to other tasks since, so the decision is not
     * reversed.
     */
    boolean isReleased(Attempt attempt);

    /**
     * True while the stored attempts of the job's team that are not released exceed the team's limit. This occurs
     * only under a new leader, if its predecessor stored replacement attempts but not the end of the attempts that
     * they replace, or if the new leader has lower limits.
     */
    boolean teamExceedsQuota();
}
