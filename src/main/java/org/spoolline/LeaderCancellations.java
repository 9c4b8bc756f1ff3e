package org.spoolline;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.api.CancellationNotifier;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.peer.CancellationReply;
import org.spoolline.peer.PeerService;

/** Delivers committed cancellations to the leader, whether that is this node or a peer. */
final class LeaderCancellations implements CancellationNotifier {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderCancellations.class);

    private final JobTable jobs;
    private final StalenessBound staleness;
    private final PeerService peerService;
    private final Counters counters;

    LeaderCancellations(JobTable jobs, StalenessBound staleness, PeerService peerService, Counters counters) {
        this.jobs = jobs;
        this.staleness = staleness;
        this.peerService = peerService;
        this.counters = counters;
    }

    @Override
    public void notifyLeader(String jobId, Consumer<CancellationReply> onReply) {
        if (acknowledge(jobId)) {
            handleReply(jobId, CancellationReply.ACKNOWLEDGED, onReply);
        } else {
            peerService.notifyLeaderOfCancellation(jobId, reply -> handleReply(jobId, reply, onReply));
        }
    }

    /**
     * Marks the job as cancelled in the local job table, in case this node is the leader.
     *
     * @return true if no launch of the job's tasks will be ordered from now on, by this node or by another
     */
    boolean acknowledge(String jobId) {
        jobs.markCancelled(jobId);
        return staleness.mayAcknowledgeCancellations();
    }

    private void handleReply(String jobId, CancellationReply reply, Consumer<CancellationReply> onReply) {
        counters.count(
                reply == CancellationReply.ACKNOWLEDGED
                        ? Event.CANCELLATION_ACKNOWLEDGED
                        : Event.CANCELLATION_NOT_ACKNOWLEDGED);
        LOG.debug("Leader notified of cancellation: job={} reply={}", jobId, reply);
        onReply.accept(reply);
    }
}
