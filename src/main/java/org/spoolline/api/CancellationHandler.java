package org.spoolline.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.job.JobKeys;
import org.spoolline.job.JobReader;
import org.spoolline.job.StoredJob;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.ValueCompactor;

/**
 * Cancels jobs by a compare-and-swap of their live value. A cancellation is confirmed only after it is committed, and
 * only when {@link CancellationConfirmer} allows it.
 */
final class CancellationHandler {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationHandler.class);

    private final KeyValueStoreClient store;
    private final JobReader reader;
    private final CancellationNotifier notifier;
    private final CancellationConfirmer confirmer;

    CancellationHandler(
            KeyValueStoreClient store,
            JobReader reader,
            CancellationNotifier notifier,
            CancellationConfirmer confirmer) {
        this.store = store;
        this.reader = reader;
        this.notifier = notifier;
        this.confirmer = confirmer;
    }

    /**
     * Cancels a job and responds with its status. A job in a terminal state is not changed. If the job is already
     * cancelled, the cancellation is confirmed again. The response asks the client to retry after
     * {@link Constants.Api#CANCEL_TRIES} commits that failed because of concurrent changes, and while the cancellation
     * is committed but may not be confirmed yet.
     */
    void cancel(String jobId, Consumer<Http.Response> responder) {
        cancel(jobId, Constants.Api.CANCEL_TRIES, responder);
    }

    private void cancel(String jobId, int triesLeft, Consumer<Http.Response> responder) {
        reader.read(
                jobId,
                stored -> cancelStored(jobId, stored, triesLeft, responder),
                failure -> responder.accept(JobResponseCodec.readFailed(failure)));
    }

    private void cancelStored(String jobId, StoredJob stored, int triesLeft, Consumer<Http.Response> responder) {
        if (stored instanceof StoredJob.Terminal terminal) {
            responder.accept(JobResponseCodec.terminalStatus(jobId, terminal.record()));
        } else if (stored instanceof StoredJob.Live live) {
            cancelLive(jobId, live, triesLeft, responder);
        } else {
            responder.accept(JobResponseCodec.noSuchJob());
        }
    }

    private void cancelLive(String jobId, StoredJob.Live live, int triesLeft, Consumer<Http.Response> responder) {
        Pipeline pipeline = Pipeline.decode(live.value());
        if (pipeline.cancelled()) {
            respondCancelled(pipeline, responder);
            return;
        }
        if (!store.tryAcquire(1)) {
            responder.accept(JobResponseCodec.rateLimited());
            return;
        }
        Transaction transaction = new Transaction()
                .requireVersion(JobKeys.live(jobId), live.version())
                .put(JobKeys.live(jobId), cancelledValue(pipeline));
        store.commit(transaction, result -> {
            if (result.outcome() == CommitOutcome.APPLIED) {
                LOG.info("Cancelled job: job={}", jobId);
                respondCancelled(pipeline, responder);
            } else if (isRetryable(result.outcome()) && triesLeft > 1) {
                cancel(jobId, triesLeft - 1, responder);
            } else {
                responder.accept(JobResponseCodec.unavailable());
            }
        });
    }

    /**
     * Cancels and encodes the job. If the value would exceed the limits in force, it gets no list of attempts, and if
     * that is not enough, a shorter description and fewer completions, which a cancelled job no longer needs.
     */
    private ObjectNode cancelledValue(Pipeline pipeline) {
        pipeline.cancel();
        if (excessBytes(pipeline) > 0) {
            pipeline.cancelWithUnlistedAttempts();
        }
        if (excessBytes(pipeline) > 0) {
            ValueCompactor.shortenDescription(pipeline, Set.of());
        }
        if (excessBytes(pipeline) > 0) {
            ValueCompactor.forgetLastCompletions(pipeline, excessBytes(pipeline));
        }
        return pipeline.encode();
    }

    private int excessBytes(Pipeline pipeline) {
        return Json.bytes(pipeline.encode()).length - store.limits().valueBytes();
    }

    /**
     * True after a conflict with a concurrent change, and after a rejection for size, since a retry is encoded for the
     * announced limits.
     */
    private static boolean isRetryable(CommitOutcome outcome) {
        return outcome == CommitOutcome.CONFLICT || outcome == CommitOutcome.TOO_LARGE;
    }

    private void respondCancelled(Pipeline cancelled, Consumer<Http.Response> responder) {
        if (cancelled.cancelledWithoutAttempts()) {
            // Its confirmation does not depend on the leader, which then need not place the job's tasks in vain.
            notifier.notifyLeader(cancelled.jobId(), reply -> {});
        }
        confirmer.confirm(
                cancelled,
                () -> responder.accept(JobResponseCodec.cancelled(cancelled.jobId())),
                () -> responder.accept(JobResponseCodec.unavailable()));
    }
}
