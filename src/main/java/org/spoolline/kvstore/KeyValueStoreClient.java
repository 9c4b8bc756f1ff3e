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
 * Client of the consensus-backed key-value store. Enforces this node's share of the store's rate limits.
 *
 * <p>All methods must be called on the event loop. Each callback runs on it exactly once, whether or not the store
 * responds. The client retries nothing. Unless a method says otherwise, the caller must first acquire the permits for
 * the request: with {@link #tryAcquire} for deferrable work, with {@link #acquireWithDebt} for requests that leadership
 * depends on.
 */
public final class KeyValueStoreClient {
    /**
     * Key that probes read. Any key serves, since a response that it does not exist also proves that the store is
     * reachable.
     */
    private static final String PROBE_KEY = "token";

    private final StoreConnection connection;
    private final StoreRateLimits rateLimits;
    private final long renewTimeoutMs;

    /** Creates a client that has a follower's share of the rate limits. */
    public KeyValueStoreClient(EventLoop loop, Http.Caller http, Settings settings) {
        this.connection = new StoreConnection(loop, http, settings.storeAddress());
        this.rateLimits = new StoreRateLimits(loop, settings);
        this.renewTimeoutMs = settings.renewMs();
    }

    /** Returns the limits known to be in force. */
    public Settings.StoreLimits limits() {
        return rateLimits.enforced();
    }

    /**
     * Returns the maximum size of a new value in bytes. A value within it can still be rewritten once the announced
     * limits are in force.
     */
    public int safeValueBytes() {
        return rateLimits.announced().valueBytes();
    }

    /** Returns the maximum number of conditions of one transaction. */
    public int maxConditions() {
        return limits().txnOps() * Constants.Store.CONDITIONS_PER_WRITE;
    }

    /** Sets this node's share of the rate limits to that of the leader or of a follower. */
    public void setLeader(boolean leading) {
        rateLimits.setLeader(leading);
    }

    /**
     * Acquires permits for one request with that many writes; returns false and acquires none if the rate limits do not
     * allow it.
     */
    public boolean tryAcquire(int writes) {
        return rateLimits.tryAcquire(writes);
    }

    /**
     * Acquires permits for one request with that many writes, going into debt if necessary: for requests that
     * leadership needs.
     */
    public void acquireWithDebt(int writes) {
        rateLimits.acquireWithDebt(writes);
    }

    /** Returns true if this node has fewer available requests than it may send in half a second. */
    public boolean requestBudgetLow() {
        return rateLimits.requestsLow();
    }

    /** Returns true if fewer writes are available than a leader may issue in half a second. */
    public boolean writeBudgetLow() {
        return rateLimits.writesLow();
    }

    /** Returns the writes available now for deferrable work, excluding the reserve for users' requests. */
    public int availableWrites() {
        return rateLimits.availableWrites();
    }

    /** Returns true if the store has recently processed a request of this node. A refusal does not count. */
    public boolean reachable() {
        return connection.reachable();
    }

    /**
     * Sends a read if no recent request has shown that the store is reachable. Acquires its permit itself, with debt.
     */
    public void probe() {
        if (connection.probeDue()) {
            acquireWithDebt(0);
            get(PROBE_KEY, read -> {});
        }
    }

    /** Reads one key. The result is unanswered if the store refuses the read or does not respond in time. */
    public void get(String key, Consumer<ReadResult> onResult) {
        connection.send(
                "GET",
                KeyValueStoreCodec.keyPath(key),
                null,
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeRead(key, reply)));
    }

    /**
     * Reads all keys with a prefix, page by page. If one page gets no success response, the whole listing fails.
     * Acquires its permits itself, with debt.
     */
    public void list(String prefix, Consumer<ListResult> onResult) {
        listFrom(prefix, "", new ArrayList<>(), 0, onResult);
    }

    /** Reads the remaining pages after the given key; {@code firstRevision} is 0 until the first page has been read. */
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
     * Waits up to {@code waitMs} for changes of keys with a prefix after a revision. Acquires its permit itself, with
     * debt.
     */
    public void watch(String prefix, long afterRevision, long waitMs, Consumer<WatchResult> onResult) {
        rateLimits.acquireReadWithDebt();
        connection.sendWatch(
                KeyValueStoreCodec.watchPath(prefix, afterRevision, waitMs),
                waitMs + Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeWatch(afterRevision, reply)));
    }

    /**
     * Sends a transaction once. If the store rejects it for its size, the announced limits are assumed to be in force.
     */
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

    /**
     * Creates a lease; the result is empty if the store refused or did not respond. Acquires its permit itself, with
     * debt.
     */
    public void createLease(long ttlMs, Consumer<OptionalLong> onResult) {
        acquireWithDebt(0);
        connection.send(
                "POST",
                KeyValueStoreCodec.LEASES_PATH,
                KeyValueStoreCodec.encodeCreateLease(ttlMs),
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> onResult.accept(KeyValueStoreCodec.decodeLease(reply)));
    }

    /** Renews a lease for its full time to live. Acquires its permit itself, with debt. */
    public void renewLease(long leaseId, Consumer<LeaseRenewal> onResult) {
        acquireWithDebt(0);
        connection.send(
                "POST",
                KeyValueStoreCodec.renewLeasePath(leaseId),
                KeyValueStoreCodec.encodeRenewLease(),
                renewTimeoutMs,
                reply -> onResult.accept(KeyValueStoreCodec.decodeRenewal(reply)));
    }

    /**
     * Ends a lease at once. If the request fails, the lease expires after its time to live. Acquires its permit
     * itself, with debt.
     */
    public void endLease(long leaseId) {
        acquireWithDebt(0);
        connection.send(
                "DELETE", KeyValueStoreCodec.leasePath(leaseId), null, Constants.Store.STORE_TIMEOUT_MS, reply -> {});
    }
}
