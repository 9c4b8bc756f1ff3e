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
 * Collects status requests for a short time and checks all of them by one request to the key-value store: a transaction
 * without writes, whose failed conditions identify the live values that have changed since they were last read. Used
 * while the request budget under the rate limit is low.
 */
final class StatusBatch {
    /** A status request for a job whose cached status may still be valid. */
    record Request(String jobId, LiveStatus lastStatus, Consumer<Http.Response> responder) {}

    private final EventLoop loop;
    private final KeyValueStoreClient store;
    private final Consumer<Request> onUnchanged;
    private final Consumer<Request> onChanged;
    private final List<Request> requests = new ArrayList<>();

    /**
     * Creates an empty batch.
     *
     * @param onUnchanged responds to a request for a job whose live value has not changed
     * @param onChanged   responds to a request for a job whose live value has changed or was removed by its end
     */
    StatusBatch(EventLoop loop, KeyValueStoreClient store, Consumer<Request> onUnchanged, Consumer<Request> onChanged) {
        this.loop = loop;
        this.store = store;
        this.onUnchanged = onUnchanged;
        this.onChanged = onChanged;
    }

    /**
     * Adds a request. The batch is sent to the store at the latest after {@link Constants.Api#STATUS_BATCH_MS}, or
     * immediately once it is full; the responses follow when the store has answered.
     */
    void add(Request request) {
        requests.add(request);
        if (requests.size() >= store.maxConditions()) {
            confirmBatch();
        } else if (requests.size() == 1) {
            loop.after(Constants.Api.STATUS_BATCH_MS, this::confirmBatch);
        }
    }

    /**
     * Sends the collected requests as one batch. The timer of a batch that was already sent because it was full still
     * calls this method; the current batch may then be empty or incomplete.
     */
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
