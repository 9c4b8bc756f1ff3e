package org.spoolline.election;

import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Bounded staleness: how old the leader's view of all jobs may be for each kind of answer. A renewal of leadership says
 * nothing about the jobs: others may have confirmed cancellations that the view does not hold yet. What bounds a
 * cancelled task's life is therefore the time as of which the view is known to be complete, and nothing else sets that
 * clock: no renewal, no election, no end of an outage.
 */
public final class StalenessBound {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Settings settings;
    private final LeaderElection election;
    private long completeAsOf = NEVER;

    public StalenessBound(EventLoop loop, Settings settings, LeaderElection election) {
        this.loop = loop;
        this.settings = settings;
        this.election = election;
    }

    /** A new term has read nothing. */
    public void reset() {
        completeAsOf = NEVER;
    }

    /** The view holds every change that was committed when the request now answered was sent. */
    public void completeAsOf(long sent) {
        completeAsOf = Math.max(completeAsOf, sent);
    }

    /** True once the view has been complete in this term. */
    public boolean hasCompleteView() {
        return completeAsOf != NEVER;
    }

    /** Starts and everything else that a young view decides. */
    public boolean mayLaunch() {
        return election.hasValidLease() && loop.now() < settings.leadershipEndsAt(completeAsOf);
    }

    /** Answers that renew workers' leases: a task that the view should not hold any more lives no longer than those. */
    public boolean mayRenewLeases() {
        return election.mayKeepAlive() && loop.now() < settings.leadershipEndsAt(completeAsOf) + settings.keepAliveMs();
    }

    /**
     * The end of a task whose job is known to be cancelled: nothing undoes a cancellation, so no view is too old for it.
     * A worker that a later leader has spoken to drops the order with its lower token.
     */
    public boolean mayStopCancelled() {
        return election.isLeader();
    }
}
