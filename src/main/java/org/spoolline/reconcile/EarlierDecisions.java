package org.spoolline.reconcile;

import org.spoolline.pipeline.Attempt;

/** What the leader knows of one job beside its committed value. */
public interface EarlierDecisions {
    /**
     * True when an earlier cycle has decided that the attempt ended, and no value without it is stored yet. Its capacity may
     * have been given away since, so the decision stays.
     */
    boolean isReleased(Attempt attempt);

    /**
     * True while the stored attempts of the job's team that are not released exceed the team's limit. That happens under a
     * new leader only, whose predecessor stored attempts in place of others but not the end of those, or with lower limits.
     */
    boolean teamExceedsQuota();
}
