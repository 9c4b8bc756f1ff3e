package org.spoolline.state;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;

/** The state service by its protocol, with the node's share of its budget. */
public final class StateClient {
    private static final Logger LOG = LoggerFactory.getLogger(StateClient.class);
    /** The protocol's word for a write whose lease has ended. */
    private static final String NO_SUCH_LEASE = "no such lease";

    /** A stored value; version 0 says that the key does not exist. */
    public record Item(String key, JsonNode value, long version) {
        public boolean exists() {
            return version != 0;
        }
    }

    /**
     * What became of a transaction. UNKNOWN: it may have been applied, or may yet be. All others but APPLIED: this copy
     * was not. TOO_LARGE: it exceeds a limit of the service, so sent again unchanged it fails again.
     */
    public enum Fate {
        APPLIED,
        CONFLICT,
        REFUSED,
        NO_LEASE,
        TOO_LARGE,
        UNKNOWN
    }

    /** A transaction's answer; {@code revision} is that of an applied one. */
    public record Outcome(Fate fate, long revision, List<String> failed) {}

    /** A transaction under construction. */
    public static final class Txn {
        private final ArrayNode conditions = Json.array();
        private final ArrayNode writes = Json.array();

        public Txn require(String key, long version) {
            conditions.addObject().put("key", key).put("stamp", version);
            return this;
        }

        public Txn put(String key, JsonNode value) {
            writes.addObject().put("set", key).set("v", value);
            return this;
        }

        public Txn putLeased(String key, JsonNode value, long lease) {
            ObjectNode write = writes.addObject().put("set", key).put("ticket", lease);
            write.set("v", value);
            return this;
        }

        public Txn delete(String key) {
            writes.addObject().put("remove", key);
            return this;
        }

        public int changes() {
            return writes.size();
        }

        byte[] body() {
            ObjectNode body = Json.object();
            body.set("if", conditions);
            body.set("writes", writes);
            return Json.bytes(body);
        }
    }

    /** Answer to a read: {@code reached} is false when the service gave none. */
    public record Read(boolean reached, Item item) {}

    /** Answer to a listing. */
    public record Listing(boolean reached, List<Item> items, long revision) {}

    /** One change seen by a watch; a null value is a deletion. */
    public record Change(String key, JsonNode value, long version) {}

    /** Answer to a watch; {@code tooOld} asks for a fresh listing. */
    public record Watched(boolean reached, boolean tooOld, List<Change> changes, long revision) {}

    private final Loop loop;
    private final Http.Caller http;
    private final String address;
    private final Settings.State announcedLimits;
    private Settings.State limits;
    private final int nodes;
    private final long renewTimeoutMs;
    private final RateBudget requests;
    private final RateBudget changes;
    private final Latencies latencies;
    /** Requests that a leader keeps from users, so that polls of jobs that don't end can't keep them from ending. */
    private double reservedForCycles;

    private long lastReached;
    private boolean everReached;
    private boolean leads;

    public StateClient(Loop loop, Http.Caller http, Settings settings) {
        this.loop = loop;
        this.http = http;
        this.address = settings.stateAddress();
        this.limits = settings.state();
        this.announcedLimits = settings.state().lowered();
        this.renewTimeoutMs = settings.renewMs();
        this.nodes = Math.max(1, settings.nodes());
        this.requests = new RateBudget(1, loop.now());
        this.changes = new RateBudget(1, loop.now());
        this.latencies = new Latencies(loop.now());
        this.lastReached = loop.now();
        leading(false);
    }

    /** The limits that are known to be in force. */
    public Settings.State limits() {
        return limits;
    }

    /** Bytes that a value written now may have, so that it can still be rewritten once announced limits are in force. */
    public int lastingValueBytes() {
        return announcedLimits.valueBytes();
    }

    /** The service has refused what the limits known so far allow: the announced ones are in force. */
    private void takeAnnouncedLimits() {
        if (!limits.equals(announcedLimits)) {
            LOG.info("the state service refuses a transaction for its size: its announced limits are taken");
            limits = announcedLimits;
            leading(leads);
        }
    }

    /** Sets this node's share of the budget. */
    public void leading(boolean leading) {
        leads = leading;
        double share = nodes == 1
                ? 1
                : leads ? Constants.LEADER_BUDGET_SHARE : Math.min(Constants.FOLLOWER_BUDGET_SHARE, 1.0 / (nodes - 1));
        reservedForCycles = leads ? limits.requestsPerS() * Constants.CYCLES_RESERVE : 0;
        requests.rate(limits.requestsPerS() * share, loop.now());
        changes.rate(limits.writesPerS() * share, loop.now());
    }

    /** True while an answer other than a refusal came lately. */
    public boolean reachable() {
        return everReached && loop.now() - lastReached < Constants.STATE_LOST_MS;
    }

    /** Asks for a sign of life when none came lately. */
    public void probe() {
        if (loop.now() - lastReached >= Constants.STATE_PROBE_MS || !everReached) {
            force(0);
            get("token", read -> {});
        }
    }

    /** Takes budget for one request with so many changes; false: spent, come back later. */
    public boolean admit(int writes) {
        long now = loop.now();
        if (requests.left(now) < 1 + reservedForCycles || changes.left(now) < writes) {
            return false;
        }
        requests.take(1, now);
        changes.take(writes, now);
        return true;
    }

    /** True when less than half of the requests that the budget can hold are left. */
    public boolean fewRequestsLeft() {
        return requests.left(loop.now()) < requests.perS() / 2;
    }

    /** Conditions of one transaction at most: the protocol allows four times as many as changes. */
    public int conditions() {
        return limits.txnOps() * Constants.CONDITIONS_PER_OP;
    }

    /** Changes that the budget holds right now for work that can wait; a part is kept for users' requests. */
    public int changesLeft() {
        double forUsers = limits.writesPerS() * Constants.USERS_RESERVE;
        return (int)
                Math.max(0, Math.min(changes.left(loop.now()) - forUsers, requests.left(loop.now()) * limits.txnOps()));
    }

    /** True when less than half of what the budget can hold is left. */
    public boolean runsLow() {
        return changesLeft() < limits.writesPerS() * Constants.LEADER_BUDGET_SHARE / 2;
    }

    /** Reads one key; budget is taken by the caller through {@link #admit}. */
    public void get(String key, Consumer<Read> done) {
        send("GET", "/keys/" + key, null, Constants.STATE_TIMEOUT_MS, reply -> {
            if (reply.ok()) {
                JsonNode body = Json.read(reply.body());
                done.accept(new Read(
                        true, new Item(key, body.path("v"), body.path("stamp").asLong())));
            } else if (reply.status() == 404) {
                done.accept(new Read(true, new Item(key, null, 0)));
            } else {
                done.accept(new Read(false, null));
            }
        });
    }

    /** Reads everything under a prefix, page by page. The revision is that of the first page. */
    public void list(String prefix, Consumer<Listing> done) {
        page(prefix, "", new ArrayList<>(), 0, done);
    }

    private void page(String prefix, String after, List<Item> items, long firstRevision, Consumer<Listing> done) {
        requests.force(1, loop.now());
        String path =
                "/keys?prefix=" + prefix + (after.isEmpty() ? "" : "&after=" + after) + "&most=" + Constants.LIST_PAGE;
        send("GET", path, null, Constants.STATE_TIMEOUT_MS, reply -> {
            if (!reply.ok()) {
                done.accept(new Listing(false, List.of(), 0));
                return;
            }
            JsonNode body = Json.read(reply.body());
            long revision = firstRevision == 0 ? body.path("ledger").asLong() : firstRevision;
            for (JsonNode pair : body.path("pairs")) {
                items.add(new Item(
                        pair.path("key").asText(),
                        pair.path("v"),
                        pair.path("stamp").asLong()));
            }
            if (body.path("hasNext").asBoolean() && !items.isEmpty()) {
                page(prefix, items.get(items.size() - 1).key(), items, revision, done);
            } else {
                done.accept(new Listing(true, items, revision));
            }
        });
    }

    /** Sends a transaction; budget is taken by the caller through {@link #admit} or {@link #force}. */
    public void commit(Txn txn, Consumer<Outcome> done) {
        send("POST", "/commit", txn.body(), Constants.STATE_TIMEOUT_MS, reply -> {
            JsonNode body = Json.read(reply.body());
            switch (reply.status()) {
                case 200 -> done.accept(
                        new Outcome(Fate.APPLIED, body.path("ledger").asLong(), List.of()));
                case 409 -> {
                    List<String> failed = new ArrayList<>();
                    body.path("failed").forEach(f -> failed.add(f.asText()));
                    done.accept(new Outcome(Fate.CONFLICT, 0, failed));
                }
                case 400 -> {
                    boolean noLease = NO_SUCH_LEASE.equals(body.path("error").asText());
                    if (!noLease) {
                        takeAnnouncedLimits();
                    }
                    done.accept(new Outcome(noLease ? Fate.NO_LEASE : Fate.TOO_LARGE, 0, List.of()));
                }
                case 429, 503 -> done.accept(new Outcome(Fate.REFUSED, 0, List.of()));
                default -> done.accept(new Outcome(Fate.UNKNOWN, 0, List.of()));
            }
        });
    }

    /** Takes budget even into debt, for leadership. */
    public void force(int writes) {
        requests.force(1, loop.now());
        changes.force(writes, loop.now());
    }

    /** Creates a lease; 0 when it failed. */
    public void createLease(long ttlMs, Consumer<Long> done) {
        force(0);
        send(
                "POST",
                "/leases",
                Json.bytes(Json.object().put("ttlMs", ttlMs)),
                Constants.STATE_TIMEOUT_MS,
                reply -> done.accept(
                        reply.ok() ? Json.read(reply.body()).path("ticket").asLong() : 0L));
    }

    /** Renews a lease; the answer is the status, 0 for none. */
    public void renewLease(long lease, Consumer<Integer> done) {
        force(0);
        send(
                "POST",
                "/leases/" + lease + "/touch",
                Json.bytes(Json.object()),
                renewTimeoutMs,
                reply -> done.accept(reply.status()));
    }

    /** Ends a lease at once; without an answer it ends by itself. */
    public void endLease(long lease) {
        force(0);
        send("DELETE", "/leases/" + lease, null, Constants.STATE_TIMEOUT_MS, reply -> {});
    }

    /** Waits for changes under a prefix after a revision, for so long. */
    public void watch(String prefix, long after, long waitMs, Consumer<Watched> done) {
        requests.force(1, loop.now());
        send(
                "GET",
                "/follow?prefix=" + prefix + "&after=" + after + "&waitMs=" + waitMs,
                null,
                waitMs + Constants.STATE_TIMEOUT_MS,
                reply -> {
                    if (!reply.ok()) {
                        done.accept(new Watched(false, reply.status() == 410, List.of(), after));
                        return;
                    }
                    JsonNode body = Json.read(reply.body());
                    List<Change> seen = new ArrayList<>();
                    for (JsonNode event : body.path("log")) {
                        boolean set = event.has("set");
                        seen.add(new Change(
                                event.path(set ? "set" : "remove").asText(),
                                set ? event.path("v") : null,
                                event.path("stamp").asLong()));
                    }
                    done.accept(
                            new Watched(true, false, seen, body.path("ledger").asLong()));
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
