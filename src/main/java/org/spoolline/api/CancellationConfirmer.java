package org.spoolline.api;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Settings;
import org.spoolline.job.LruJobCache;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.peer.CancellationReply;
import org.spoolline.pipeline.Pipeline;

/**
 * Decides whether users may be told that a live job is cancelled. Every such response depends on it: the confirmation
 * of a cancellation, its repetition, and the job's status.
 *
 * <p>Once a user has been told, no launch of the job's tasks may be ordered. A committed cancellation alone does not
 * ensure that, because a leader whose view of the jobs lacks it launches the job's stored attempts. A user is therefore
 * told only if one of these conditions holds (docs/design.md, "When a cancellation is confirmed"):
 *
 * <ul>
 *   <li>The cancelled value has no attempts: a launch requires a stored attempt, and no attempt can be added.
 *   <li>The leader has acknowledged the cancellation.
 *   <li>This node has known of the committed cancellation for {@link Settings#staleLaunchMs}: no leader launches on a
 *       view that is older.
 * </ul>
 *
 * <p>Used on the event loop only.
 */
final class CancellationConfirmer {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationConfirmer.class);

    private final EventLoop loop;
    private final Settings settings;
    private final CancellationNotifier notifier;
    private final Counters counters;
    /**
     * By job id, the time from which no leader launches tasks of a job whose cancellation this node knows to be
     * committed, in ms of the event loop's clock.
     */
    private final Map<String, Long> launchesEndAt = new LruJobCache<>();

    CancellationConfirmer(EventLoop loop, Settings settings, CancellationNotifier notifier, Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.notifier = notifier;
        this.counters = counters;
    }

    /**
     * Calls exactly one of the callbacks, once: {@code onConfirmed} if users may be told that the job is cancelled,
     * {@code onUnconfirmed} if a leader may still launch its tasks, so that the client has to retry. Calls it before
     * this method returns, or as soon as the leader has replied or the notification has timed out.
     *
     * @param cancelled the committed value of the cancelled job
     */
    void confirm(Pipeline cancelled, Runnable onConfirmed, Runnable onUnconfirmed) {
        String jobId = cancelled.jobId();
        launchesEndAt.putIfAbsent(jobId, loop.now() + settings.staleLaunchMs());
        if (cancelled.cancelledWithoutAttempts() || haveLaunchesEnded(jobId)) {
            onConfirmed.run();
        } else {
            notifier.notifyLeader(jobId, reply -> handleReply(jobId, reply, onConfirmed, onUnconfirmed));
        }
    }

    private void handleReply(String jobId, CancellationReply reply, Runnable onConfirmed, Runnable onUnconfirmed) {
        if (reply == CancellationReply.ACKNOWLEDGED) {
            launchesEndAt.put(jobId, loop.now());
        }
        if (haveLaunchesEnded(jobId)) {
            onConfirmed.run();
            return;
        }
        counters.count(Event.CANCELLATION_UNCONFIRMED);
        LOG.info("Cancellation not confirmed yet: job={} reason={}", jobId, reply);
        onUnconfirmed.run();
    }

    private boolean haveLaunchesEnded(String jobId) {
        Long endAt = launchesEndAt.get(jobId);
        return endAt != null && loop.now() >= endAt;
    }
}
