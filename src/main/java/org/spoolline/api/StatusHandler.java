package org.spoolline.api;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.job.JobReader;
import org.spoolline.job.LruJobCache;
import org.spoolline.job.StoredJob;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.pipeline.Pipeline;

/**
 * Responds to status requests with the state that is committed in the key-value store. While the request budget under
 * the rate limit is low, the cached statuses of live jobs are checked in a {@link StatusBatch}, and a job without a
 * cached status is read only if this node has not responded for it recently.
 */
final class StatusHandler {
    private static final long NEVER_RESPONDED = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final JobReader reader;
    private final AncestorChecker ancestorChecker;
    private final CancellationHandler cancellationHandler;
    private final CancellationConfirmer confirmer;
    private final StatusBatch batch;
    /** Time of this node's last response with a job's status, by job id, in ms of the event loop's clock. */
    private final Map<String, Long> lastRespondedAt = new LruJobCache<>();
    /** Cached statuses by job id, of jobs that were live when this node last read them. */
    private final Map<String, LiveStatus> liveStatuses = new LruJobCache<>();

    StatusHandler(
            EventLoop loop,
            KeyValueStoreClient store,
            JobReader reader,
            AncestorChecker ancestorChecker,
            CancellationHandler cancellationHandler,
            CancellationConfirmer confirmer) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        this.ancestorChecker = ancestorChecker;
        this.cancellationHandler = cancellationHandler;
        this.confirmer = confirmer;
        batch = new StatusBatch(loop, store, this::respondUnchanged, this::readAgain);
    }

    /** Responds to a status request. */
    void status(String jobId, Consumer<Http.Response> responder) {
        Optional<Http.Response> terminalStatus = cachedTerminalStatus(jobId);
        if (terminalStatus.isPresent()) {
            responder.accept(terminalStatus.get());
        } else if (store.requestBudgetLow() && liveStatuses.containsKey(jobId)) {
            batch.add(new StatusBatch.Request(jobId, liveStatuses.get(jobId), responder));
        } else {
            read(jobId, responder);
        }
    }

    /** The status of a job whose terminal record is cached, without a request to the store; otherwise empty. */
    Optional<Http.Response> cachedTerminalStatus(String jobId) {
        return reader.cachedTerminalRecord(jobId).map(record -> JobResponseCodec.terminalStatus(jobId, record));
    }

    /** Reads the job and responds with its status, or calls {@code onNeverAccepted} if it was never accepted. */
    void respondIfAccepted(String jobId, Consumer<Http.Response> responder, Runnable onNeverAccepted) {
        reader.read(
                jobId,
                stored -> {
                    if (stored instanceof StoredJob.Terminal terminal) {
                        liveStatuses.remove(jobId);
                        respond(jobId, JobResponseCodec.terminalStatus(jobId, terminal.record()), responder);
                    } else if (stored instanceof StoredJob.Live live) {
                        respondLive(jobId, live, responder);
                    } else {
                        onNeverAccepted.run();
                    }
                },
                failure -> responder.accept(JobResponseCodec.readFailed(failure)));
    }

    /**
     * Reads the job. If the request budget is low and this node has responded for the job recently, it rejects the
     * request instead, to leave the budget to other jobs. Without this rule some jobs would by chance get no response
     * for minutes while others get one for each request.
     */
    private void read(String jobId, Consumer<Http.Response> responder) {
        if (store.requestBudgetLow() && respondedRecently(jobId)) {
            responder.accept(JobResponseCodec.rateLimited());
            return;
        }
        respondIfAccepted(jobId, responder, () -> responder.accept(JobResponseCodec.noSuchJob()));
    }

    private boolean respondedRecently(String jobId) {
        long respondedAt = lastRespondedAt.getOrDefault(jobId, NEVER_RESPONDED);
        return loop.now() - respondedAt < Constants.Api.STATUS_LOW_PRIORITY_MS;
    }

    private void respondUnchanged(StatusBatch.Request request) {
        respondUnlessAncestorCancelled(request.jobId(), request.lastStatus(), request.responder());
    }

    private void readAgain(StatusBatch.Request request) {
        liveStatuses.remove(request.jobId());
        read(request.jobId(), request.responder());
    }

    private void respondLive(String jobId, StoredJob.Live live, Consumer<Http.Response> responder) {
        Pipeline pipeline = Pipeline.decode(live.value());
        if (pipeline.cancelled()) {
            respondCancelled(pipeline, live.version(), responder);
            return;
        }
        List<String> dependencies = pipeline.spec().dependencies();
        LiveStatus status = new LiveStatus(live.version(), JobResponseCodec.liveStatus(pipeline), dependencies);
        liveStatuses.put(jobId, status);
        respondUnlessAncestorCancelled(jobId, status, responder);
    }

    /**
     * Responds that the job is cancelled, or asks the client to retry while that may not be confirmed yet. An earlier
     * status is not an option, since another node may have confirmed the cancellation. The status is cached only once
     * it is confirmed.
     */
    private void respondCancelled(Pipeline cancelled, long version, Consumer<Http.Response> responder) {
        String jobId = cancelled.jobId();
        Runnable onConfirmed = () -> {
            Http.Response response = JobResponseCodec.cancelled(jobId);
            liveStatuses.put(jobId, new LiveStatus(version, response, List.of()));
            respond(jobId, response, responder);
        };
        confirmer.confirm(cancelled, onConfirmed, () -> responder.accept(JobResponseCodec.unavailable()));
    }

    /**
     * Responds with the status, unless an ancestor of the job is cancelled. In that case the job counts as cancelled
     * even if no leader has recorded that yet. This node then commits the job's cancellation before it responds, since
     * other nodes may have cached that no ancestor is cancelled.
     */
    private void respondUnlessAncestorCancelled(String jobId, LiveStatus status, Consumer<Http.Response> responder) {
        if (status.dependencies().isEmpty()) {
            respond(jobId, status.response(), responder);
            return;
        }
        ancestorChecker.check(status.dependencies(), verdict -> {
            switch (verdict) {
                case NONE_CANCELLED -> respond(jobId, status.response(), responder);
                case CANCELLED -> cancellationHandler.cancel(jobId, responder);
                case RATE_LIMITED -> responder.accept(JobResponseCodec.rateLimited());
                case STORE_UNREACHABLE, UNSATISFIABLE -> responder.accept(JobResponseCodec.unavailable());
            }
        });
    }

    private void respond(String jobId, Http.Response response, Consumer<Http.Response> responder) {
        lastRespondedAt.put(jobId, loop.now());
        responder.accept(response);
    }
}
