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

/** The key-value store by PROTOCOL, as far as controllers use it, and its faults. */
public final class FakeKeyValueStore {
    private static final int CONDITIONS_PER_OP = 4;
    private static final int MAX_TXN_BYTES = 64 * 1024;
    private static final long LEASE_CHECK_MS = 50;

    private final Simulation simulation;
    private final KeyValueData data = new KeyValueData();
    private final KeyValueWatches watches;
    /** The limits in the settings of {@link SimulatedSettings}. */
    private int maxValueBytes = 8 * 1024;

    private int maxTxnOps = 12;
    private boolean outage;
    private final Set<String> rejectedHosts = new HashSet<>();
    private boolean listingsDropped;
    private double delayedCommitShare;
    private int oversizedCommits;
    private int delayedCommits;
    private int delayedCommitsApplied;
    /** The next so many commits are applied, but their response is lost. */
    public int commitResponsesToLose;
    /** The next so many commits are applied only after the caller's timeout. */
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

    /** Every request gets 503 for so many seconds; after them every lease has its full time again. */
    public void outage(double seconds) {
        outage = true;
        simulation.at((long) (seconds * 1000), () -> {
            outage = false;
            data.renewAllLeases(simulation.now());
            watches.respondToChangedWatches();
        });
    }

    /** One host alone gets 503; its leases expire, and its open watches wait as in an outage. */
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

    /** The responses to one host's watches are lost, while its other requests are answered. */
    public void loseWatchResponses(String host, double seconds) {
        watches.loseResponsesTo(host, seconds);
    }

    /** Listings get no response, while other requests do: pages may be large, and slow links lose them first. */
    public void dropListings(double seconds) {
        listingsDropped = true;
        simulation.at((long) (seconds * 1000), () -> listingsDropped = false);
    }

    /** That share of the commits gets no response and is applied 2 to 12 s later, after newer ones. */
    public void delayCommits(double share, double seconds) {
        delayedCommitShare = share;
        simulation.at((long) (seconds * 1000), () -> delayedCommitShare = 0);
    }

    /** From now on larger values and transactions get 400; what is stored stays readable. */
    public void lowerLimits(int valueBytes, int txnOps) {
        maxValueBytes = valueBytes;
        maxTxnOps = txnOps;
    }

    // --- what scenarios look at

    /** The controller named as leader, or null. */
    String leader() {
        return data.get("leader")
                .map(leader -> leader.json().path("node").asText())
                .orElse(null);
    }

    /** The value of a key, or a missing node. */
    public JsonNode value(String key) {
        return data.get(key).map(StoredValue::json).orElse(MissingNode.getInstance());
    }

    /** Stores a value at the start of a scenario. */
    void put(String key, JsonNode value) {
        data.beginRevision();
        data.set(key, value, 0);
    }

    /** Commits that were rejected for their size. */
    public int oversizedCommits() {
        return oversizedCommits;
    }

    /** Commits that {@link #delayCommits} delayed. */
    int delayedCommits() {
        return delayedCommits;
    }

    /** Delayed commits whose conditions still held. */
    int delayedCommitsApplied() {
        return delayedCommitsApplied;
    }

    // --- the protocol

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
