package org.spoolline.election;

import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Staleness bound: how old the leader's view of all jobs may be for each kind of answer.
 *
 * <p>The view is complete as of a time t when it holds every change that was committed before t. Renewing the leadership
 * lease says nothing about that: another node may have confirmed cancellations that the view does not hold yet. Only
 * {@link #completeAsOf} advances t, with the time at which an answered request for the jobs was <em>sent</em>; no
 * renewal, no election and no end of an outage does.
 *
 * <p>Invariant: no task runs {@code cancel_s} after the cancellation of its job was confirmed. A view that lacks the
 * cancellation has a t before the confirmation. Workers' leases are renewed from it until
 * {@link Settings#leadershipEndsAt} of t plus the keep-alive time, and end a worker's lease later; the settings keep the
 * sum of these three under {@code cancel_s}. The argument in full is in docs/design.md, "How long a cancelled task
 * lives".
 */
public final class StalenessBound {
    /** Long before any time of the event loop, without overflow when a duration is added. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Settings settings;
    private final LeaderElection election;
    private long completeAsOf = NEVER;

    /** A bound for a view that has not been read yet. */
    public StalenessBound(EventLoop loop, Settings settings, LeaderElection election) {
        this.loop = loop;
        this.settings = settings;
        this.election = election;
    }

    /** A new term begins: the view is not complete as of any time. */
    public void reset() {
        completeAsOf = NEVER;
    }

    /**
     * The view holds every change that was committed when a request was sent that is now answered.
     *
     * @param sentAt when the request was sent, in ms of the event loop's time
     */
    public void completeAsOf(long sentAt) {
        completeAsOf = Math.max(completeAsOf, sentAt);
    }

    /** True once the view has been complete in this term, however long ago. */
    public boolean hasCompleteView() {
        return completeAsOf != NEVER;
    }

    /** True while the view is recent enough to launch tasks, and for everything else that it decides. */
    public boolean mayLaunch() {
        return election.hasValidLease() && loop.now() < settings.leadershipEndsAt(completeAsOf);
    }

    /**
     * True while the view is recent enough for answers that renew workers' leases: a task that is missing from a later
     * view then lives until the end of its worker's lease at most.
     */
    public boolean mayRenewLeases() {
        return election.mayKeepAlive() && loop.now() < settings.leadershipEndsAt(completeAsOf) + settings.keepAliveMs();
    }

    /**
     * True while this node may order the end of a task whose job is known to be cancelled. A cancellation is never undone,
     * so no view is too old for that. A worker that has seen a later leader's fencing token drops the order.
     */
    public boolean mayStopCancelled() {
        return election.isLeader();
    }
}
