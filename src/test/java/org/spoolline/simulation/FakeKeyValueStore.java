package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.simulation.KeyValueData.StoredValue;

/** An in-memory key-value store with the requests of PROTOCOL that controllers use, and fault injection. */
public final class FakeKeyValueStore {
    private static final int CONDITIONS_PER_OP = 4;
    private static final int MAX_TXN_BYTES = 64 * 1024;
    private static final long LEASE_CHECK_MS = 50;

    private final Simulation simulation;
    private final KeyValueData data = new KeyValueData();
    private final KeyValueWatches watches;
    /** Equal to the limit in {@link SimulatedSettings}, as is {@link #maxTxnOps}. */
    private int maxValueBytes = 8 * 1024;

    private int maxTxnOps = 12;
    private boolean outage;
    private final Set<String> rejectedHosts = new HashSet<>();
    private boolean listingsDropped;
    private double delayedCommitShare;
    private int oversizedCommits;
    private int delayedCommits;
    private int delayedCommitsApplied;
    /** The number of commits from now on that are applied without a response to the caller. */
    public int commitResponsesToLose;
    /** The number of commits from now on that are applied only after the caller has timed out. */
    public int commitsToDelay;

    FakeKeyValueStore(Simulation simulation) {
        this.simulation = simulation;
        this.watches = new KeyValueWatches(simulation, data, this::isRejected);
        expireLeasesPeriodically();
    }

    private void expireLeasesPeriodically() {
        if (!outage) {
            data.expiredLeases(simulation.now()).forEach(this::deleteLease);
        }
        simulation.at(LEASE_CHECK_MS, this::expireLeasesPeriodically);
    }

    // --- faults

    /**
     * Answers every request with 503 for the given number of seconds. No lease expires meanwhile, and each lease is
     * renewed for its full duration at the end.
     */
    public void outage(double seconds) {
        outage = true;
        simulation.at((long) (seconds * 1000), () -> {
            outage = false;
            data.renewAllLeases(simulation.now());
            watches.respondToChangedWatches();
        });
    }

    /**
     * Answers the requests of one host with 503 for the given number of seconds. Its leases may expire meanwhile; its
     * open watches get no response until the end.
     */
    public void rejectHost(String host, double seconds) {
        rejectedHosts.add(host);
        simulation.at((long) (seconds * 1000), () -> {
            rejectedHosts.remove(host);
            watches.respondToChangedWatches();
        });
    }

    private boolean isRejected(String host) {
        return outage || rejectedHosts.contains(host);
    }

    /** Drops the responses to watches of one host; its other requests are answered. */
    public void loseWatchResponses(String host, double seconds) {
        watches.loseResponsesTo(host, seconds);
    }

    /**
     * Drops list requests for the given number of seconds and answers all others. This models a slow link, on which
     * large pages time out first.
     */
    public void dropListings(double seconds) {
        listingsDropped = true;
        simulation.at((long) (seconds * 1000), () -> listingsDropped = false);
    }

    /**
     * For the given number of seconds, sends no response to this share of the commits, chosen at random, and applies
     * each of them 2 to 12 s late, possibly after newer commits.
     */
    public void delayCommits(double share, double seconds) {
        delayedCommitShare = share;
        simulation.at((long) (seconds * 1000), () -> delayedCommitShare = 0);
    }

    /** Answers commits over these limits with 400 from now on; larger values already stored stay readable. */
    public void lowerLimits(int valueBytes, int txnOps) {
        maxValueBytes = valueBytes;
        maxTxnOps = txnOps;
    }

    // --- state read by scenarios

    /** The name of the controller stored as leader, or null if there is none. */
    String leader() {
        return data.get("leader")
                .map(leader -> leader.json().path("node").asText())
                .orElse(null);
    }

    /** The value of the key, or a missing node if the key does not exist. */
    public JsonNode value(String key) {
        return data.get(key).map(StoredValue::json).orElse(MissingNode.getInstance());
    }

    /** Stores a value without a lease, as initial data of a scenario. */
    void put(String key, JsonNode value) {
        data.beginRevision();
        data.set(key, value, 0);
    }

    /** The number of commits rejected because they exceeded a size limit. */
    public int oversizedCommits() {
        return oversizedCommits;
    }

    /** The number of commits delayed by {@link #delayCommits}. */
    int delayedCommits() {
        return delayedCommits;
    }

    /** The number of delayed commits that were applied because their conditions still held. */
    int delayedCommitsApplied() {
        return delayedCommitsApplied;
    }

    // --- requests

    void handle(String from, Http.Request request, Consumer<Http.Response> reply) {
        String path = request.path();
        if (isRejected(from)) {
            reply.accept(Http.Response.of(503, new byte[0]));
        } else if (path.startsWith("/follow")) {
            watches.open(from, queryParameters(path), reply);
        } else if (path.startsWith("/keys/")) {
            get(path.substring(6), reply);
        } else if (path.startsWith("/keys?")) {
            if (!listingsDropped) {
                list(queryParameters(path), reply);
            }
        } else if (path.equals("/commit")) {
            handleCommit(Json.read(request.body()), reply);
        } else {
            handleLease(request, reply);
        }
    }

    private void handleLease(Http.Request request, Consumer<Http.Response> reply) {
        String path = request.path();
        if (path.equals("/leases")) {
            long ttlMs = Json.read(request.body()).path("ttlMs").asLong();
            long lease = data.createLease(ttlMs, simulation.now());
            respond(reply, 200, Json.object().put("ticket", lease));
        } else if (request.method().equals("DELETE")) {
            deleteLease(leaseInPath(path));
            respond(reply, 200, Json.object());
        } else if (!path.endsWith("/touch")) {
            respond(reply, 400, Json.object());
        } else if (data.hasLease(leaseInPath(path))) {
            data.renewLease(leaseInPath(path), simulation.now());
            respond(reply, 200, Json.object());
        } else {
            respond(reply, 404, Json.object());
        }
    }

    private static long leaseInPath(String path) {
        return Long.parseLong(path.split("/")[2]);
    }

    private void deleteLease(long lease) {
        data.deleteLease(lease);
        watches.respondToChangedWatches();
    }

    private void get(String key, Consumer<Http.Response> reply) {
        data.get(key)
                .ifPresentOrElse(
                        value -> {
                            ObjectNode body = Json.object().put("key", key).put("stamp", value.revision());
                            body.set("v", value.json());
                            respond(reply, 200, body);
                        },
                        () -> respond(reply, 404, Json.object().put("ledger", data.revision())));
    }

    private void list(Map<String, String> query, Consumer<Http.Response> reply) {
        ObjectNode body = Json.object().put("ledger", data.revision());
        ArrayNode pairs = body.putArray("pairs");
        boolean hasNext = false;
        int pageSize = Integer.parseInt(query.getOrDefault("most", "1000"));
        for (Map.Entry<String, StoredValue> entry :
                data.entriesAfter(query.getOrDefault("after", "")).entrySet()) {
            if (entry.getKey().startsWith(query.get("prefix"))) {
                if (pairs.size() == pageSize) {
                    hasNext = true;
                    break;
                }
                pairs.addObject()
                        .put("key", entry.getKey())
                        .put("stamp", entry.getValue().revision())
                        .set("v", entry.getValue().json());
            }
        }
        body.put("hasNext", hasNext);
        respond(reply, 200, body);
    }

    // --- commits

    private void handleCommit(JsonNode body, Consumer<Http.Response> reply) {
        if (commitsToDelay > 0) {
            commitsToDelay--;
            simulation.at(5_000, () -> commit(body, response -> {}));
        } else if (delayedCommitShare > 0 && simulation.random.nextDouble() < delayedCommitShare) {
            delayedCommits++;
            simulation.at(
                    2_000 + simulation.random.nextInt(10_000),
                    () -> commit(body, response -> delayedCommitsApplied += response.status() == 200 ? 1 : 0));
        } else if (commitResponsesToLose > 0) {
            commitResponsesToLose--;
            commit(body, response -> {});
        } else {
            commit(body, reply);
        }
    }

    private void commit(JsonNode body, Consumer<Http.Response> reply) {
        if (exceedsLimits(body)) {
            oversizedCommits++;
            respond(reply, 400, Json.object().put("error", "too large"));
            return;
        }
        for (JsonNode write : body.path("writes")) {
            if (write.has("ticket") && !data.hasLease(write.path("ticket").asLong())) {
                respond(reply, 400, Json.object().put("error", "no such lease"));
                return;
            }
        }
        ArrayNode failed = failedConditions(body.path("if"));
        if (!failed.isEmpty()) {
            ObjectNode response = Json.object().put("ledger", data.revision());
            response.set("failed", failed);
            respond(reply, 409, response);
            return;
        }
        if (!body.path("writes").isEmpty()) {
            apply(body.path("writes"));
        }
        respond(reply, 200, Json.object().put("ledger", data.revision()));
    }

    private boolean exceedsLimits(JsonNode body) {
        for (JsonNode write : body.path("writes")) {
            if (write.has("v") && Json.bytes(write.path("v")).length > maxValueBytes) {
                return true;
            }
        }
        return body.path("writes").size() > maxTxnOps
                || body.path("if").size() > CONDITIONS_PER_OP * maxTxnOps
                || Json.bytes(body).length > MAX_TXN_BYTES;
    }

    private ArrayNode failedConditions(JsonNode conditions) {
        ArrayNode failed = Json.array();
        for (JsonNode condition : conditions) {
            String key = condition.path("key").asText();
            long revision = data.get(key).map(StoredValue::revision).orElse(0L);
            if (revision != condition.path("stamp").asLong()) {
                failed.add(key);
            }
        }
        return failed;
    }

    private void apply(JsonNode writes) {
        data.beginRevision();
        for (JsonNode write : writes) {
            if (write.has("set")) {
                data.set(
                        write.path("set").asText(),
                        write.path("v"),
                        write.path("ticket").asLong());
            } else {
                data.remove(write.path("remove").asText());
            }
        }
        watches.respondToChangedWatches();
    }

    private static Map<String, String> queryParameters(String path) {
        Map<String, String> parameters = new HashMap<>();
        for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
            int separator = parameter.indexOf('=');
            parameters.put(parameter.substring(0, separator), parameter.substring(separator + 1));
        }
        return parameters;
    }

    private static void respond(Consumer<Http.Response> reply, int status, JsonNode body) {
        reply.accept(Http.Response.of(status, Json.bytes(body)));
    }
}
