package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.RateLimiter;

/** The state service by its protocol, with the node's share of its budget. */
public final class KeyValueStoreClient {
    private static final Logger LOG = LoggerFactory.getLogger(KeyValueStoreClient.class);
    /** The protocol's word for a write whose lease has ended. */
    private static final String NO_SUCH_LEASE = "no such lease";

    /** A stored value; version 0 says that the key does not exist. */
    public record VersionedValue(String key, JsonNode value, long version) {
        public boolean exists() {
            return version != 0;
        }
    }

    /**
     * What became of a transaction. UNKNOWN: it may have been applied, or may yet be. All others but APPLIED: this copy
     * was not. TOO_LARGE: it exceeds a limit of the service, so sent again unchanged it fails again.
     */
    public enum CommitOutcome {
        APPLIED,
        CONFLICT,
        REFUSED,
        LEASE_EXPIRED,
        TOO_LARGE,
        UNKNOWN
    }

    /** A transaction's answer; {@code revision} is that of an applied one. */
    public record CommitResult(CommitOutcome outcome, long revision, List<String> failedKeys) {}

    /** A transaction under construction. */
    public static final class Transaction {
        private final ArrayNode conditions = Json.array();
        private final ArrayNode writes = Json.array();

        public Transaction requireVersion(String key, long version) {
            conditions.addObject().put("key", key).put("stamp", version);
            return this;
        }

        public Transaction put(String key, JsonNode value) {
            writes.addObject().put("set", key).set("v", value);
            return this;
        }

        public Transaction putWithLease(String key, JsonNode value, long lease) {
            ObjectNode write = writes.addObject().put("set", key).put("ticket", lease);
            write.set("v", value);
            return this;
        }

        public Transaction delete(String key) {
            writes.addObject().put("remove", key);
            return this;
        }

        public int writeCount() {
            return writes.size();
        }

        byte[] body() {
            ObjectNode body = Json.object();
            body.set("if", conditions);
            body.set("writes", writes);
            return Json.bytes(body);
        }
    }

    /** Answer to a read: {@code answered} is false when the service gave none. */
    public record ReadResult(boolean answered, VersionedValue value) {}

    /** Answer to a listing. */
    public record ListResult(boolean answered, List<VersionedValue> values, long revision) {}

    /** One change seen by a watch; a null value is a deletion. */
    public record WatchEvent(String key, JsonNode value, long version) {}

    /** Answer to a watch; {@code compacted} asks for a fresh listing. */
    public record WatchResult(boolean answered, boolean compacted, List<WatchEvent> events, long revision) {}

    private final EventLoop loop;
    private final Http.Caller http;
    private final String address;
    private final Settings.StoreLimits announcedLimits;
    private Settings.StoreLimits limits;
    private final int nodes;
    private final long renewTimeoutMs;
    private final RateLimiter requestLimiter;
    private final RateLimiter writeLimiter;
    private final LatencyLog latencies;
    /** Requests that a leader keeps from users, so that polls of jobs that don't end can't keep them from ending. */
    private double reservedForCycles;

    private long lastReached;
    private boolean everReached;
    private boolean leader;

    public KeyValueStoreClient(EventLoop loop, Http.Caller http, Settings settings) {
        this.loop = loop;
        this.http = http;
        this.address = settings.storeAddress();
        this.limits = settings.storeLimits();
        this.announcedLimits = settings.storeLimits().lowestAnnounced();
        this.renewTimeoutMs = settings.renewMs();
        this.nodes = Math.max(1, settings.controllers());
        this.requestLimiter = new RateLimiter(1, loop.now());
        this.writeLimiter = new RateLimiter(1, loop.now());
        this.latencies = new LatencyLog(loop.now());
        this.lastReached = loop.now();
        setLeader(false);
    }

    /** The limits that are known to be in force. */
    public Settings.StoreLimits limits() {
        return limits;
    }

    /** Bytes that a value written now may have, so that it can still be rewritten once announced limits are in force. */
    public int safeValueBytes() {
        return announcedLimits.valueBytes();
    }

    /** The service has refused what the limits known so far allow: the announced ones are in force. */
    private void enforceAnnouncedLimits() {
        if (!limits.equals(announcedLimits)) {
            LOG.info("the state service refuses a transaction for its size: its announced limits are taken");
            limits = announcedLimits;
            setLeader(leader);
        }
    }

    /** Sets this node's share of the budget. */
    public void setLeader(boolean leading) {
        leader = leading;
        double share = nodes == 1
                ? 1
                : leader
                        ? Constants.Store.LEADER_REQUEST_SHARE
                        : Math.min(Constants.Store.FOLLOWER_REQUEST_SHARE, 1.0 / (nodes - 1));
        reservedForCycles = leader ? limits.requestsPerS() * Constants.Store.LEADER_REQUEST_RESERVE : 0;
        requestLimiter.setRate(limits.requestsPerS() * share, loop.now());
        writeLimiter.setRate(limits.writesPerS() * share, loop.now());
    }

    /** True while an answer other than a refusal came lately. */
    public boolean reachable() {
        return everReached && loop.now() - lastReached < Constants.Store.STORE_UNREACHABLE_MS;
    }

    /** Asks for a sign of life when none came lately. */
    public void probe() {
        if (loop.now() - lastReached >= Constants.Store.STORE_PROBE_MS || !everReached) {
            acquireWithDebt(0);
            get("token", read -> {});
        }
    }

    /** Takes budget for one request with so many changes; false: spent, come back later. */
    public boolean tryAcquire(int writes) {
        long now = loop.now();
        if (requestLimiter.available(now) < 1 + reservedForCycles || writeLimiter.available(now) < writes) {
            return false;
        }
        requestLimiter.tryAcquire(1, now);
        writeLimiter.tryAcquire(writes, now);
        return true;
    }

    /** True when less than half of the requests that the budget can hold are left. */
    public boolean requestBudgetLow() {
        return requestLimiter.available(loop.now()) < requestLimiter.ratePerS() / 2;
    }

    /** Conditions of one transaction at most: the protocol allows four times as many as changes. */
    public int maxConditions() {
        return limits.txnOps() * Constants.Store.CONDITIONS_PER_WRITE;
    }

    /** Changes that the budget holds right now for work that can wait; a part is kept for users' requests. */
    public int availableWrites() {
        double forUsers = limits.writesPerS() * Constants.Store.USER_WRITE_RESERVE;
        return (int) Math.max(
                0,
                Math.min(
                        writeLimiter.available(loop.now()) - forUsers,
                        requestLimiter.available(loop.now()) * limits.txnOps()));
    }

    /** True when less than half of what the budget can hold is left. */
    public boolean writeBudgetLow() {
        return availableWrites() < limits.writesPerS() * Constants.Store.LEADER_REQUEST_SHARE / 2;
    }

    /** Reads one key; budget is taken by the caller through {@link #tryAcquire}. */
    public void get(String key, Consumer<ReadResult> done) {
        send("GET", "/keys/" + key, null, Constants.Store.STORE_TIMEOUT_MS, reply -> {
            if (reply.ok()) {
                JsonNode body = Json.read(reply.body());
                done.accept(new ReadResult(
                        true,
                        new VersionedValue(
                                key, body.path("v"), body.path("stamp").asLong())));
            } else if (reply.status() == 404) {
                done.accept(new ReadResult(true, new VersionedValue(key, null, 0)));
            } else {
                done.accept(new ReadResult(false, null));
            }
        });
    }

    /** Reads everything under a prefix, page by page. The revision is that of the first page. */
    public void list(String prefix, Consumer<ListResult> done) {
        page(prefix, "", new ArrayList<>(), 0, done);
    }

    private void page(
            String prefix, String after, List<VersionedValue> items, long firstRevision, Consumer<ListResult> done) {
        requestLimiter.acquireWithDebt(1, loop.now());
        String path = "/keys?prefix=" + prefix + (after.isEmpty() ? "" : "&after=" + after) + "&most="
                + Constants.Store.LIST_PAGE;
        send("GET", path, null, Constants.Store.STORE_TIMEOUT_MS, reply -> {
            if (!reply.ok()) {
                done.accept(new ListResult(false, List.of(), 0));
                return;
            }
            JsonNode body = Json.read(reply.body());
            long revision = firstRevision == 0 ? body.path("ledger").asLong() : firstRevision;
            for (JsonNode pair : body.path("pairs")) {
                items.add(new VersionedValue(
                        pair.path("key").asText(),
                        pair.path("v"),
                        pair.path("stamp").asLong()));
            }
            if (body.path("hasNext").asBoolean() && !items.isEmpty()) {
                page(prefix, items.get(items.size() - 1).key(), items, revision, done);
            } else {
                done.accept(new ListResult(true, items, revision));
            }
        });
    }

    /** Sends a transaction; budget is taken by the caller through {@link #tryAcquire} or {@link #acquireWithDebt}. */
    public void commit(Transaction transaction, Consumer<CommitResult> done) {
        send("POST", "/commit", transaction.body(), Constants.Store.STORE_TIMEOUT_MS, reply -> {
            JsonNode body = Json.read(reply.body());
            switch (reply.status()) {
                case 200 -> done.accept(new CommitResult(
                        CommitOutcome.APPLIED, body.path("ledger").asLong(), List.of()));
                case 409 -> {
                    List<String> failed = new ArrayList<>();
                    body.path("failed").forEach(f -> failed.add(f.asText()));
                    done.accept(new CommitResult(CommitOutcome.CONFLICT, 0, failed));
                }
                case 400 -> {
                    boolean noLease = NO_SUCH_LEASE.equals(body.path("error").asText());
                    if (!noLease) {
                        enforceAnnouncedLimits();
                    }
                    done.accept(new CommitResult(
                            noLease ? CommitOutcome.LEASE_EXPIRED : CommitOutcome.TOO_LARGE, 0, List.of()));
                }
                case 429, 503 -> done.accept(new CommitResult(CommitOutcome.REFUSED, 0, List.of()));
                default -> done.accept(new CommitResult(CommitOutcome.UNKNOWN, 0, List.of()));
            }
        });
    }

    /** Takes budget even into debt, for leadership. */
    public void acquireWithDebt(int writes) {
        requestLimiter.acquireWithDebt(1, loop.now());
        writeLimiter.acquireWithDebt(writes, loop.now());
    }

    /** Creates a lease; 0 when it failed. */
    public void createLease(long ttlMs, Consumer<Long> done) {
        acquireWithDebt(0);
        send(
                "POST",
                "/leases",
                Json.bytes(Json.object().put("ttlMs", ttlMs)),
                Constants.Store.STORE_TIMEOUT_MS,
                reply -> done.accept(
                        reply.ok() ? Json.read(reply.body()).path("ticket").asLong() : 0L));
    }

    /** Renews a lease; the answer is the status, 0 for none. */
    public void renewLease(long lease, Consumer<Integer> done) {
        acquireWithDebt(0);
        send(
                "POST",
                "/leases/" + lease + "/touch",
                Json.bytes(Json.object()),
                renewTimeoutMs,
                reply -> done.accept(reply.status()));
    }

    /** Ends a lease at once; without an answer it ends by itself. */
    public void endLease(long lease) {
        acquireWithDebt(0);
        send("DELETE", "/leases/" + lease, null, Constants.Store.STORE_TIMEOUT_MS, reply -> {});
    }

    /** Waits for changes under a prefix after a revision, for so long. */
    public void watch(String prefix, long after, long waitMs, Consumer<WatchResult> done) {
        requestLimiter.acquireWithDebt(1, loop.now());
        send(
                "GET",
                "/follow?prefix=" + prefix + "&after=" + after + "&waitMs=" + waitMs,
                null,
                waitMs + Constants.Store.STORE_TIMEOUT_MS,
                reply -> {
                    if (!reply.ok()) {
                        done.accept(new WatchResult(false, reply.status() == 410, List.of(), after));
                        return;
                    }
                    JsonNode body = Json.read(reply.body());
                    List<WatchEvent> seen = new ArrayList<>();
                    for (JsonNode event : body.path("log")) {
                        boolean set = event.has("set");
                        seen.add(new WatchEvent(
                                event.path(set ? "set" : "remove").asText(),
                                set ? event.path("v") : null,
                                event.path("stamp").asLong()));
                    }
                    done.accept(new WatchResult(
                            true, false, seen, body.path("ledger").asLong()));
                });
    }

    private void send(String method, String path, byte[] body, long timeoutMs, Consumer<Http.Reply> done) {
        long sent = loop.now();
        http.call(address, method, path, body, timeoutMs, reply -> {
            if (reply.status() != 0 && reply.status() != 503 && reply.status() != 429) {
                // A watch answers long after it was sent; it proves the service at the time of the answer.
                lastReached = Math.max(lastReached, path.startsWith("/follow") ? loop.now() : sent);
                everReached = true;
            }
            if (!path.startsWith("/follow")) {
                latencies.record(reply.status(), loop.now() - sent, loop.now());
            }
            done.accept(reply);
        });
    }
}
