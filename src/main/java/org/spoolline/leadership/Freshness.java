package org.spoolline.leadership;

import org.spoolline.net.Loop;
import org.spoolline.settings.Settings;

/**
 * Bounded staleness: how old the leader's view of all jobs may be for each kind of answer. A renewal of leadership says
 * nothing about the jobs: others may have confirmed cancellations that the view does not hold yet. What bounds a
 * cancelled task's life is therefore the time as of which the view is known to be complete, and nothing else sets that
 * clock: no renewal, no election, no end of an outage.
 */
public final class Freshness {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private long completeAsOf = NEVER;

    public Freshness(Loop loop, Settings settings, Leadership leadership) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
    }

    /** A new term has read nothing. */
    public void begin() {
        completeAsOf = NEVER;
    }

    /** The view holds every change that was committed when the request now answered was sent. */
    public void completeAsOf(long sent) {
        completeAsOf = Math.max(completeAsOf, sent);
    }

    /** True once the view has been complete in this term. */
    public boolean viewKnown() {
        return completeAsOf != NEVER;
    }

    /** Starts and everything else that a young view decides. */
    public boolean mayLaunch() {
        return leadership.valid() && loop.now() < settings.leadershipEnds(completeAsOf);
    }

    /** Answers that renew workers' leases: a task that the view should not hold any more lives no longer than those. */
    public boolean mayRenewLeases() {
        return leadership.mayKeepAlive() && loop.now() < settings.leadershipEnds(completeAsOf) + settings.keepAliveMs();
    }

    /**
     * The end of a task whose job is known to be cancelled: nothing undoes a cancellation, so no view is too old for it.
     * A worker that a later leader has spoken to drops the order with its lower token.
     */
    public boolean mayStopCancelled() {
        return leadership.leads();
    }
}
