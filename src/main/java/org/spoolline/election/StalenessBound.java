package org.spoolline.election;

import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;

/**
 * Limits how stale the leader's view of all jobs may be for each kind of decision and of response to a worker.
 *
 * <p>The view is complete as of a time t when it contains every change that was committed before t. Renewing the
 * leadership lease does not advance t, since another node may have confirmed cancellations that the view does not
 * contain yet. An election or the end of an outage does not advance it either. Only {@link #viewCompleteAsOf} does,
 * with the time at which this node <em>sent</em> a request for the jobs that the store has answered.
 *
 * <p>Invariant: no task runs longer than {@code cancel_s} after the cancellation of its job was confirmed. If the view
 * lacks the cancellation, t is before the confirmation. From such a view the leader renews workers' leases until
 * {@link Settings#leadershipEndsAt} of t plus the keep-alive time, and the last renewed lease expires after the
 * duration of a worker's lease. The settings keep the sum of these three times below {@code cancel_s}. For the full
 * argument see docs/design.md, "How long a cancelled task lives".
 */
public final class StalenessBound {
    /** Earlier than any time of the event loop, and far enough from the minimum that arithmetic does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final Settings settings;
    private final LeaderElection election;
    private long viewCompleteAsOf = NEVER;

    /** Creates a bound for a view that has not been read yet. */
    public StalenessBound(EventLoop loop, Settings settings, LeaderElection election) {
        this.loop = loop;
        this.settings = settings;
        this.election = election;
    }

    /** Starts a new term, in which the view is not complete as of any time yet. */
    public void reset() {
        viewCompleteAsOf = NEVER;
    }

    /**
     * Records that the view contains every change that was committed before {@code sentAt}.
     *
     * @param sentAt when the request for the jobs was sent that is now answered, in ms of the event loop's clock
     */
    public void viewCompleteAsOf(long sentAt) {
        viewCompleteAsOf = Math.max(viewCompleteAsOf, sentAt);
    }

    /** True once the view has been complete at any time in this term, even if it is stale now. */
    public boolean hasCompleteView() {
        return viewCompleteAsOf != NEVER;
    }

    /** The time in ms since the view was last known to be complete. Meaningful once {@link #hasCompleteView} is true. */
    public long viewAgeMs() {
        return loop.now() - viewCompleteAsOf;
    }

    /** True while the view is recent enough to launch tasks and to make all other scheduling decisions. */
    public boolean mayLaunch() {
        return election.hasValidLease() && loop.now() < settings.leadershipEndsAt(viewCompleteAsOf);
    }

    /**
     * True while the view is recent enough for heartbeat responses that renew workers' leases. A task that a later view
     * no longer contains then runs at most until its worker's lease expires.
     */
    public boolean mayRenewLeases() {
        return election.mayRenewWorkerLeases()
                && loop.now() < settings.leadershipEndsAt(viewCompleteAsOf) + settings.keepAliveMs();
    }

    /**
     * True while this node may acknowledge a cancellation, that is promise that no launch of the job's tasks will be
     * ordered. It holds the leadership lease, so no other node may launch tasks, and any later leader reads the jobs
     * after the cancellation. It has read all jobs in this term, so it knows the attempts to which the cancellation
     * applies.
     */
    public boolean mayAcknowledgeCancellations() {
        return election.hasValidLease() && hasCompleteView();
    }

    /**
     * True while this node may order workers to stop tasks whose jobs are known to be cancelled. A cancellation is
     * never reverted, so this does not depend on the age of the view. A worker that has received a later leader's
     * fencing token ignores the order.
     */
    public boolean mayStopCancelled() {
        return election.isLeader();
    }
}
