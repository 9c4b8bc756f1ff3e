package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** The state service by PROTOCOL, as far as its users go. */
public final class FakeKeyValueStore {
    private record Value(JsonNode json, long stamp, long lease) {}

    private record Logged(long revision, String key, JsonNode value) {}

    private record Watch(String from, String prefix, long after, Consumer<Http.Response> answer, boolean[] over) {}

    private static final int CONDITIONS_PER_OP = 4;
    private static final int MOST_TXN_BYTES = 64 * 1024;

    private final Simulation simulation;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Logged> log = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new LinkedHashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long leases;
    private boolean out;
    /** The limits that the worlds' settings give. */
    private int mostValueBytes = 8 * 1024;

    private int mostOps = 12;
    /** Transactions that were refused for their size. */
    public int overLimit;
    /** Hosts that alone are refused, and hosts whose watches' answers are lost. */
    private final Set<String> refused = new HashSet<>();

    private final Set<String> watchless = new HashSet<>();
    private boolean listless;
    private double lateShare;
    /** Transactions that were carried out late, and those of them whose conditions held even then. */
    int late;

    int lateApplied;
    /** Commits whose answer is lost although they are applied: the next so many. */
    public int answersToLose;
    /** Commits that are applied so late that the caller has long given up: the next so many, this many ms late. */
    public int commitsToDelay;

    public long delayMs = 5_000;

    FakeKeyValueStore(Simulation simulation) {
        this.simulation = simulation;
        tick();
    }

    private void tick() {
        if (!out) {
            for (long lease : List.copyOf(leaseEnds.keySet())) {
                if (leaseEnds.get(lease) <= simulation.now()) {
                    end(lease);
                }
            }
        }
        simulation.at(50, this::tick);
    }

    /** An outage: 503 for all; once over, every lease has its full time again. */
    public void outage(double seconds) {
        out = true;
        simulation.at((long) (seconds * 1000), () -> {
            out = false;
            leaseEnds.replaceAll((lease, end) -> simulation.now() + leaseTtls.get(lease));
            wake();
        });
    }

    /** One host alone gets 503, its leases run out, and its open watches wait as in an outage. */
    public void refuse(String host, double seconds) {
        refused.add(host);
        simulation.at((long) (seconds * 1000), () -> {
            refused.remove(host);
            wake();
        });
    }

    public boolean refuses(String host) {
        return out || refused.contains(host);
    }

    /** The answers to one host's watches are lost on the way, while its other requests are answered. */
    public void loseWatches(String host, double seconds) {
        watchless.add(host);
        simulation.at((long) (seconds * 1000), () -> watchless.remove(host));
    }

    /** Listings get no answer, while other requests do: pages may be large, and slow links lose them first. */
    public void refuseListings(double seconds) {
        listless = true;
        simulation.at((long) (seconds * 1000), () -> listless = false);
    }

    /** That share of the transactions gets no answer and is carried out 2 to 12 s later, after newer ones. */
    public void lateWrites(double share, double seconds) {
        lateShare = share;
        simulation.at((long) (seconds * 1000), () -> lateShare = 0);
    }

    String leaderNode() {
        Value leader = values.get("leader");
        return leader == null ? null : leader.json().path("node").asText();
    }

    public JsonNode value(String key) {
        Value value = values.get(key);
        return value == null ? null : value.json();
    }

    /** A value that is there before the day begins. */
    void put(String key, JsonNode value) {
        revision++;
        set(key, value, 0);
    }

    void handle(String from, Http.Request request, Consumer<Http.Response> reply) {
        if (refuses(from)) {
            reply.accept(Http.Response.of(503, new byte[0]));
            return;
        }
        if (request.path().startsWith("/follow")) {
            follow(from, request.path(), reply);
            return;
        }
        String path = request.path();
        if (path.startsWith("/keys/")) {
            get(path.substring(6), reply);
        } else if (path.startsWith("/keys?")) {
            if (!listless) {
                list(query(path), reply);
            }
        } else if (path.equals("/commit")) {
            JsonNode body = Json.read(request.body());
            if (commitsToDelay > 0) {
                commitsToDelay--;
                simulation.at(delayMs, () -> commit(body, r -> {}));
            } else if (lateShare > 0 && simulation.random.nextDouble() < lateShare) {
                late++;
                simulation.at(
                        2_000 + simulation.random.nextInt(10_000),
                        () -> commit(body, r -> lateApplied += r.status() == 200 ? 1 : 0));
            } else if (answersToLose > 0) {
                answersToLose--;
                commit(body, r -> {});
            } else {
                commit(body, reply);
            }
        } else if (path.equals("/leases")) {
            long lease = ++leases;
            long ttl = Json.read(request.body()).path("ttlMs").asLong();
            leaseTtls.put(lease, ttl);
            leaseEnds.put(lease, simulation.now() + ttl);
            answer(reply, 200, Json.object().put("ticket", lease));
        } else if (request.method().equals("DELETE")) {
            end(Long.parseLong(path.split("/")[2]));
            answer(reply, 200, Json.object());
        } else if (path.endsWith("/touch")) {
            long lease = Long.parseLong(path.split("/")[2]);
            if (leaseEnds.containsKey(lease)) {
                leaseEnds.put(lease, simulation.now() + leaseTtls.get(lease));
                answer(reply, 200, Json.object());
            } else {
                answer(reply, 404, Json.object());
            }
        } else {
            answer(reply, 400, Json.object());
        }
    }

    private void get(String key, Consumer<Http.Response> reply) {
        Value value = values.get(key);
        if (value == null) {
            answer(reply, 404, Json.object().put("ledger", revision));
        } else {
            ObjectNode body = Json.object().put("key", key).put("stamp", value.stamp());
            body.set("v", value.json());
            answer(reply, 200, body);
        }
    }

    private void list(Map<String, String> query, Consumer<Http.Response> reply) {
        ObjectNode body = Json.object().put("ledger", revision);
        ArrayNode pairs = body.putArray("pairs");
        boolean more = false;
        int most = Integer.parseInt(query.getOrDefault("most", "1000"));
        for (Map.Entry<String, Value> e :
                values.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
            if (e.getKey().startsWith(query.get("prefix"))) {
                if (pairs.size() == most) {
                    more = true;
                    break;
                }
                pairs.addObject()
                        .put("key", e.getKey())
                        .put("stamp", e.getValue().stamp())
                        .set("v", e.getValue().json());
            }
        }
        body.put("hasNext", more);
        answer(reply, 200, body);
    }

    /** From now on larger values and transactions get 400; what is stored stays readable. */
    public void lowerLimits(int valueBytes, int txnOps) {
        mostValueBytes = valueBytes;
        mostOps = txnOps;
    }

    private boolean overLimits(JsonNode body) {
        for (JsonNode write : body.path("writes")) {
            if (write.has("v") && Json.bytes(write.path("v")).length > mostValueBytes) {
                return true;
            }
        }
        return body.path("writes").size() > mostOps
                || body.path("if").size() > CONDITIONS_PER_OP * mostOps
                || Json.bytes(body).length > MOST_TXN_BYTES;
    }

    private void commit(JsonNode body, Consumer<Http.Response> reply) {
        if (overLimits(body)) {
            overLimit++;
            answer(reply, 400, Json.object().put("error", "too large"));
            return;
        }
        for (JsonNode write : body.path("writes")) {
            if (write.has("ticket")
                    && !leaseEnds.containsKey(write.path("ticket").asLong())) {
                answer(reply, 400, Json.object().put("error", "no such lease"));
                return;
            }
        }
        ArrayNode failed = Json.array();
        for (JsonNode condition : body.path("if")) {
            Value value = values.get(condition.path("key").asText());
            if ((value == null ? 0 : value.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode answer = Json.object().put("ledger", revision);
            answer.set("failed", failed);
            answer(reply, 409, answer);
            return;
        }
        if (!body.path("writes").isEmpty()) {
            revision++;
            for (JsonNode write : body.path("writes")) {
                if (write.has("set")) {
                    set(
                            write.path("set").asText(),
                            write.path("v"),
                            write.path("ticket").asLong());
                } else {
                    remove(write.path("remove").asText());
                }
            }
            wake();
        }
        answer(reply, 200, Json.object().put("ledger", revision));
    }

    private void set(String key, JsonNode value, long lease) {
        values.put(key, new Value(value, revision, lease));
        log.add(new Logged(revision, key, value));
    }

    private void remove(String key) {
        if (values.remove(key) != null) {
            log.add(new Logged(revision, key, null));
        }
    }

    private void end(long lease) {
        leaseEnds.remove(lease);
        revision++;
        for (String key : List.copyOf(values.keySet())) {
            if (values.get(key).lease() == lease) {
                remove(key);
            }
        }
        wake();
    }

    private void follow(String from, String path, Consumer<Http.Response> reply) {
        Map<String, String> query = query(path);
        Watch watch = new Watch(from, query.get("prefix"), Long.parseLong(query.get("after")), reply, new boolean[1]);
        watches.add(watch);
        simulation.at(Long.parseLong(query.get("waitMs")), () -> answerWatch(watch, true));
        answerWatch(watch, false);
    }

    private void wake() {
        List.copyOf(watches).forEach(w -> answerWatch(w, false));
    }

    private void answerWatch(Watch watch, boolean timeUp) {
        if (watch.over()[0]) {
            return;
        }
        if (refuses(watch.from())) {
            if (timeUp) {
                // It stays open and is answered once the trouble is over.
                simulation.at(500, () -> answerWatch(watch, true));
            }
            return;
        }
        ObjectNode body = Json.object().put("ledger", revision);
        ArrayNode events = body.putArray("log");
        for (Logged change : log) {
            if (change.revision() > watch.after() && change.key().startsWith(watch.prefix())) {
                ObjectNode event = events.addObject().put("stamp", change.revision());
                if (change.value() == null) {
                    event.put("remove", change.key());
                } else {
                    event.put("set", change.key()).set("v", change.value());
                }
            }
        }
        if (!events.isEmpty() || timeUp) {
            watch.over()[0] = true;
            watches.remove(watch);
            if (!watchless.contains(watch.from())) {
                answer(watch.answer(), 200, body);
            }
        }
    }

    private static Map<String, String> query(String path) {
        Map<String, String> query = new HashMap<>();
        for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), part.substring(equals + 1));
        }
        return query;
    }

    private static void answer(Consumer<Http.Response> reply, int status, JsonNode body) {
        reply.accept(Http.Response.of(status, Json.bytes(body)));
    }
}
