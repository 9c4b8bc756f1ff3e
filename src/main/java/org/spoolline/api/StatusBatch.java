package org.spoolline.api;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.job.JobKeys;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.kvstore.CommitResult;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.kvstore.Transaction;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Collects status requests for a short time and confirms all of them by one request to the key-value store: a transaction
 * without writes, whose conditions tell which live values are still of the version that was last read. Used while few
 * requests are left under the rate limit.
 */
final class StatusBatch {
    /** A status request about a job whose last status may still hold. */
    record Request(String jobId, LiveStatus lastStatus, Consumer<Http.Response> responder) {}

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Consumer<Request> onUnchanged;
    private final Consumer<Request> onChanged;
    private final List<Request> requests = new ArrayList<>();

    /**
     * Creates an empty batch.
     *
     * @param onUnchanged responds to a request about a job whose live value has not changed
     * @param onChanged   responds to a request about a job that has changed, or is in a terminal state by now
     */
    StatusBatch(EventLoop loop, KeyValueStoreClient store, Consumer<Request> onUnchanged, Consumer<Request> onChanged) {
        this.loop = loop;
        this.store = store;
        this.onUnchanged = onUnchanged;
        this.onChanged = onChanged;
    }

    /**
     * Adds a request. It gets its response after {@link Constants.Api#STATUS_BATCH_MS} at the latest plus the time of the
     * request to the store, or sooner if the batch is full.
     */
    void add(Request request) {
        requests.add(request);
        if (requests.size() >= store.maxConditions()) {
            confirmBatch();
        } else if (requests.size() == 1) {
            loop.after(Constants.Api.STATUS_BATCH_MS, this::confirmBatch);
        }
    }

    /** Also runs by the timer of a batch that was full before: then there may be no request, or few of a later batch. */
    private void confirmBatch() {
        if (requests.isEmpty()) {
            return;
        }
        List<Request> batch = List.copyOf(requests);
        requests.clear();
        if (!store.tryAcquire(0)) {
            batch.forEach(request -> request.responder().accept(JobResponseCodec.rateLimited()));
            return;
        }
        Transaction transaction = new Transaction();
        for (Request request : batch) {
            transaction.requireVersion(
                    JobKeys.live(request.jobId()), request.lastStatus().version());
        }
        store.commit(transaction, result -> respond(batch, result));
    }

    private void respond(List<Request> batch, CommitResult result) {
        if (result.outcome() != CommitOutcome.APPLIED && result.outcome() != CommitOutcome.CONFLICT) {
            batch.forEach(request -> request.responder().accept(JobResponseCodec.unavailable()));
            return;
        }
        Set<String> changed = Set.copyOf(result.failedKeys());
        for (Request request : batch) {
            if (changed.contains(JobKeys.live(request.jobId()))) {
                onChanged.accept(request);
            } else {
                onUnchanged.accept(request);
            }
        }
    }
}
