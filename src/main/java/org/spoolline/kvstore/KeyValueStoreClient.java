package org.spoolline.kvstore;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;

/**
 * Client of the consensus-backed key-value store, with this node's share of the store's rate limits.
 *
 * <p>Every method is called on the event loop, and every callback runs on it exactly once, whether the store answers or
 * not. Nothing is retried here. Unless a method says otherwise the caller first takes the request from the rate limits,
 * through {@link #tryAcquire} for work that can wait and {@link #acquireWithDebt} for what leadership depends on.
 */
public final class KeyValueStoreClient {
    /** Read by probes; any key would do, whether it exists or not. */
    private static final String PROBE_KEY = "token";

    private final StoreConnection connection;
    private final StoreRateLimits rateLimits;
    private final long renewTimeoutMs;

    /** A client with a follower's share of the rate limits. */
    public KeyValueStoreClient(EventLoop loop, Http.Caller http, Settings settings) {
        this.connection = new StoreConnection(loop, http, settings.storeAddress());
        this.rateLimits = new StoreRateLimits(loop, settings);
        this.renewTimeoutMs = settings.renewMs();
    }

    /** The limits that are known to be in force. */
    public Settings.StoreLimits limits() {
        return rateLimits.enforced();
    }

    /** Bytes that a value written now may have, so that it can still be rewritten once announced limits are in force. */
    public int safeValueBytes() {
        return rateLimits.announced().valueBytes();
    }

    /** Conditions that one transaction may have. */
    public int maxConditions() {
        return limits().txnOps() * Constants.Store.CONDITIONS_PER_WRITE;
    }

    /** Gives this node a leader's or a follower's share of the rate limits. */
    public void setLeader(boolean leading) {
        rateLimits.setLeader(leading);
    }

    /** Takes one request with so many writes from the rate limits; false, and nothing taken, when they are exhausted. */
    public boolean tryAcquire(int writes) {
        return rateLimits.tryAcquire(writes);
    }

    /** Takes one request with so many writes from the rate limits, into debt if need be: for leadership. */
    public void acquireWithDebt(int writes) {
        rateLimits.acquireWithDebt(writes);
    }

    /** True when less than half of the requests of one second is available to this node. */
    public boolean requestBudgetLow() {
        return rateLimits.requestsLow();
    }

    /** True when less than half of a leader's writes of one second is available. */
    public boolean writeBudgetLow() {
        return rateLimits.writesLow();
    }

    /** Writes available now for work that can wait; a part of them is kept for users' requests. */
    public int availableWrites() {
        return rateLimits.availableWrites();
    }

    /** True while the store carried out a request that was sent lately. A refusal does not count. */
    public boolean reachable() {
        return connection.reachable();
    }

    /** Sends a read when no other request has shown lately whether the store can be reached. Takes its own request. */
    public void probe() {
        if (connection.probeDue()) {
            acquireWithDebt(0);
            get(PROBE_KEY, read -> {});
        }
    }

    /** Reads one key. */
    public void get(String key, Consumer<ReadResult> onResult) {
        connection.send(
                "GET",
                KeyValueStoreCodec.keyPath(key),
                null,
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeRead(key, reply)));
    }

    /**
     * Reads all keys under a prefix, page by page; a missing page fails the whole listing. Takes its own requests from the
     * rate limits.
     */
    public void list(String prefix, Consumer<ListResult> onResult) {
        listFrom(prefix, "", new ArrayList<>(), 0, onResult);
    }

    /** Reads the page after a key and all that follow; {@code firstRevision} is 0 while no page has been read. */
    private void listFrom(
            String prefix,
            String afterKey,
            List<VersionedValue> values,
            long firstRevision,
            Consumer<ListResult> onResult) {
        rateLimits.acquireReadWithDebt();
        String path = KeyValueStoreCodec.listPath(prefix, afterKey);
        connection.send("GET", path, null, Constants.Store.STORE_TIMEOUT_MS, reply -> {
            if (!reply.ok()) {
                onResult.accept(ListResult.noAnswer());
                return;
            }
            KeyValueStoreCodec.Page page = KeyValueStoreCodec.decodePage(reply);
            long revision = firstRevision == 0 ? page.revision() : firstRevision;
            values.addAll(page.values());
            if (page.last() || values.isEmpty()) {
                onResult.accept(ListResult.of(values, revision));
            } else {
                listFrom(prefix, values.get(values.size() - 1).key(), values, revision, onResult);
            }
        });
    }

    /**
     * Waits up to {@code waitMs} for changes under a prefix after a revision. Takes its own request from the rate limits.
     */
    public void watch(String prefix, long afterRevision, long waitMs, Consumer<WatchResult> onResult) {
        rateLimits.acquireReadWithDebt();
        connection.sendWatch(
                KeyValueStoreCodec.watchPath(prefix, afterRevision, waitMs),
                waitMs + Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeWatch(afterRevision, reply)));
    }

    /** Sends a transaction once. A rejection for its size puts the announced limits in force. */
    public void commit(Transaction transaction, Consumer<CommitResult> onResult) {
        connection.send(
                "POST",
                KeyValueStoreCodec.COMMIT_PATH,
                KeyValueStoreCodec.encode(transaction),
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> {
                    CommitResult result = KeyValueStoreCodec.decodeCommit(reply);
                    if (result.outcome() == CommitOutcome.TOO_LARGE) {
                        rateLimits.enforceAnnounced();
                    }
                    onResult.accept(result);
                });
    }

    /** Creates a lease; empty when the store refused or gave no answer. Takes its own request from the rate limits. */
    public void createLease(long ttlMs, Consumer<OptionalLong> onResult) {
        acquireWithDebt(0);
        connection.send(
                "POST",
                KeyValueStoreCodec.LEASES_PATH,
                KeyValueStoreCodec.encodeCreateLease(ttlMs),
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeLease(reply)));
    }

    /** Renews a lease for its whole time. Takes its own request from the rate limits. */
    public void renewLease(long lease, Consumer<LeaseRenewal> onResult) {
        acquireWithDebt(0);
        connection.send(
                "POST",
                KeyValueStoreCodec.renewLeasePath(lease),
                KeyValueStoreCodec.encodeRenewLease(),
                renewTimeoutMs,
                reply -> onResult.accept(KeyValueStoreCodec.decodeRenewal(reply)));
    }

    /**
     * Ends a lease at once; if the store does not answer, the lease ends with its time. Takes its own request from the
     * rate limits.
     */
    public void endLease(long lease) {
        acquireWithDebt(0);
        connection.send(
                "DELETE", KeyValueStoreCodec.leasePath(lease), null, Constants.Store.STORE_TIMEOUT_MS, reply -> {});
    }
}
