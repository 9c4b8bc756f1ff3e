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
 * Responds to status requests with what is committed in the key-value store. While few requests are left under the rate
 * limit, jobs that were live when last read are confirmed in a {@link StatusBatch}, and others take turns.
 */
final class StatusHandler {
    private static final long NEVER_RESPONDED = Long.MIN_VALUE / 2;

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final JobReader reader;
    private final AncestorChecker ancestorChecker;
    private final CancellationHandler cancellationHandler;
    private final StatusBatch batch;
    /** When this node last responded with a job's status, in ms of the event loop's clock. */
    private final Map<String, Long> lastRespondedAt = new LruJobCache<>();
    /** Jobs that were live when last read here. */
    private final Map<String, LiveStatus> liveStatuses = new LruJobCache<>();

    StatusHandler(
            EventLoop loop,
            KeyValueStoreClient store,
            JobReader reader,
            AncestorChecker ancestorChecker,
            CancellationHandler cancellationHandler) {
        this.loop = loop;
        this.store = store;
        this.reader = reader;
        this.ancestorChecker = ancestorChecker;
        this.cancellationHandler = cancellationHandler;
        batch = new StatusBatch(loop, store, this::respondUnchanged, this::readChanged);
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

    /** The status of a job that is known to be in a terminal state, without a request to the store; else empty. */
    Optional<Http.Response> cachedTerminalStatus(String jobId) {
        return reader.cachedTerminalRecord(jobId).map(record -> JobResponseCodec.terminalStatus(jobId, record));
    }

    /** Reads the job and responds with its status, or leaves the response to {@code ifNeverAccepted}. */
    void respondIfAccepted(String jobId, Consumer<Http.Response> responder, Runnable ifNeverAccepted) {
        reader.read(
                jobId,
                stored -> {
                    if (stored instanceof StoredJob.Terminal terminal) {
                        liveStatuses.remove(jobId);
                        respond(jobId, JobResponseCodec.terminalStatus(jobId, terminal.record()), responder);
                    } else if (stored instanceof StoredJob.Live live) {
                        respondLive(jobId, live, responder);
                    } else {
                        ifNeverAccepted.run();
                    }
                },
                failure -> responder.accept(JobResponseCodec.readFailed(failure)));
    }

    /**
     * Reads the job, unless the last requests under the rate limit are better left to other jobs: without turns, by chance
     * alone some jobs would get no response for minutes while others get one each time.
     */
    private void read(String jobId, Consumer<Http.Response> responder) {
        if (store.requestBudgetLow() && respondedLately(jobId)) {
            responder.accept(JobResponseCodec.rateLimited());
            return;
        }
        respondIfAccepted(jobId, responder, () -> responder.accept(JobResponseCodec.noSuchJob()));
    }

    private boolean respondedLately(String jobId) {
        long respondedAt = lastRespondedAt.getOrDefault(jobId, NEVER_RESPONDED);
        return loop.now() - respondedAt < Constants.Api.STATUS_LOW_PRIORITY_MS;
    }

    private void respondUnchanged(StatusBatch.Request request) {
        respondUnlessAncestorCancelled(request.jobId(), request.lastStatus(), request.responder());
    }

    private void readChanged(StatusBatch.Request request) {
        liveStatuses.remove(request.jobId());
        read(request.jobId(), request.responder());
    }

    private void respondLive(String jobId, StoredJob.Live live, Consumer<Http.Response> responder) {
        Pipeline pipeline = Pipeline.decode(live.value());
        List<String> dependencies =
                pipeline.cancelled() ? List.of() : pipeline.spec().dependencies();
        LiveStatus status = new LiveStatus(live.version(), JobResponseCodec.liveStatus(pipeline), dependencies);
        liveStatuses.put(jobId, status);
        respondUnlessAncestorCancelled(jobId, status, responder);
    }

    /**
     * A job that waits for dependencies is cancelled with any of its ancestors, even while no leader has recorded that. Its
     * cancellation is committed before the response, since other nodes may have cached that no ancestor was cancelled.
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
