package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.spoolline.net.Json;

/** The state service as PROTOCOL describes it: keys, transactions, leases, watches and the rate limits. */
final class Store {
    private record Entry(JsonNode value, long stamp, long ticket) {}

    private record Change(String key, JsonNode value, long stamp) {}

    private static final class Lease {
        final long ttlMs;
        long endsAt;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            this.endsAt = Wire.nowMs() + ttlMs;
        }
    }

    /** A token bucket that holds one second's worth. */
    static final class Bucket {
        private final double rate;
        private final double most;
        private double available;
        private long at = Wire.nowMs();

        Bucket(double rate, double seconds) {
            this.rate = rate;
            this.most = rate * seconds;
            this.available = most;
        }

        synchronized boolean take(double amount) {
            long now = Wire.nowMs();
            available = Math.min(most, available + (now - at) * rate / 1000.0);
            at = now;
            if (available < amount) {
                return false;
            }
            available -= amount;
            return true;
        }
    }

    private static final Wire.Reply TOO_MANY = Wire.Reply.of(429, "{\"error\":\"too many\"}");
    private static final int KEPT_CHANGES = 10_000;

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Bucket requests;
    private final Bucket writes;
    private final int valueBytes;
    private final int txnOps;
    private long ledger = 100;
    private long lastTicket = 6;

    Store(double rps, double writeRps, double valueKb, int txnOps) {
        requests = new Bucket(rps, 1);
        writes = new Bucket(writeRps, 1);
        valueBytes = (int) (valueKb * 1024);
        this.txnOps = txnOps;
        Wire.daemon("leases", this::expireLeases);
    }

    Wire.Reply handle(Wire.Request request) throws InterruptedException {
        if (!requests.take(1)) {
            return TOO_MANY;
        }
        String path = request.path();
        if (path.equals("/follow")) {
            return follow(request);
        }
        synchronized (this) {
            if (path.equals("/keys")) {
                return list(request);
            } else if (path.startsWith("/keys/")) {
                return get(path.substring("/keys/".length()));
            } else if (path.equals("/commit")) {
                return commit(request.json());
            } else if (path.equals("/leases")) {
                leases.put(++lastTicket, new Lease(request.json().path("ttlMs").asLong()));
                return Wire.Reply.of(200, Json.object().put("ticket", lastTicket));
            } else if (path.startsWith("/leases/")) {
                return lease(request);
            }
        }
        return Wire.Reply.of(400, "{}");
    }

    private Wire.Reply get(String key) {
        Entry entry = keys.get(key);
        if (entry == null) {
            return Wire.Reply.of(404, Json.object().put("ledger", ledger));
        }
        ObjectNode body = Json.object().put("key", key);
        body.set("v", entry.value());
        body.put("stamp", entry.stamp());
        if (entry.ticket() != 0) {
            body.put("ticket", entry.ticket());
        }
        return Wire.Reply.of(200, body);
    }

    private Wire.Reply list(Wire.Request request) {
        String prefix = request.parameter("prefix", "");
        String after = request.parameter("after", "");
        int most = Integer.parseInt(request.parameter("most", "1000"));
        ObjectNode body = Json.object();
        ArrayNode pairs = body.putArray("pairs");
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Entry> pair : keys.tailMap(prefix, true).entrySet()) {
            if (!pair.getKey().startsWith(prefix)) {
                break;
            }
            if (pair.getKey().compareTo(after) <= 0) {
                continue;
            }
            bytes += Json.bytes(pair.getValue().value()).length + 300;
            if (pairs.size() >= Math.min(most, 1000) || bytes > 512 * 1024) {
                more = true;
                break;
            }
            ObjectNode item = pairs.addObject().put("key", pair.getKey());
            item.set("v", pair.getValue().value());
            item.put("stamp", pair.getValue().stamp());
        }
        return Wire.Reply.of(200, body.put("hasNext", more).put("ledger", ledger));
    }

    private Wire.Reply commit(JsonNode body) {
        JsonNode puts = body.path("writes");
        if (puts.size() > txnOps || body.path("if").size() > 4 * txnOps) {
            return Wire.Reply.of(400, "{\"error\":\"too large\"}");
        }
        if (puts.size() > 0 && !writes.take(puts.size())) {
            return TOO_MANY;
        }
        for (JsonNode put : puts) {
            if (put.has("set") && Json.bytes(put.path("v")).length > valueBytes) {
                return Wire.Reply.of(400, "{\"error\":\"too large\"}");
            }
            if (put.has("ticket") && !leases.containsKey(put.path("ticket").asLong())) {
                return Wire.Reply.of(400, "{\"error\":\"no such lease\"}");
            }
        }
        ArrayNode failed = Json.array();
        for (JsonNode condition : body.path("if")) {
            Entry entry = keys.get(condition.path("key").asText());
            if ((entry == null ? 0 : entry.stamp()) != condition.path("stamp").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            ObjectNode conflict = Json.object();
            conflict.set("failed", failed);
            return Wire.Reply.of(409, conflict.put("ledger", ledger));
        }
        if (puts.size() > 0) {
            ledger++;
            for (JsonNode put : puts) {
                if (put.has("set")) {
                    change(put.path("set").asText(), put.path("v"), put.path("ticket").asLong());
                } else {
                    change(put.path("remove").asText(), null, 0);
                }
            }
        }
        return Wire.Reply.of(200, Json.object().put("ledger", ledger));
    }

    private void change(String key, JsonNode value, long ticket) {
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Entry(value, ledger, ticket));
        }
        changes.add(new Change(key, value, ledger));
        if (changes.size() > KEPT_CHANGES) {
            changes.remove(0);
        }
        notifyAll();
    }

    private Wire.Reply lease(Wire.Request request) {
        String[] parts = request.path().split("/");
        long ticket = Long.parseLong(parts[2]);
        Lease lease = leases.get(ticket);
        if (lease == null) {
            return Wire.Reply.of(404, "{}");
        }
        if (request.method().equals("DELETE")) {
            end(ticket);
        } else {
            lease.endsAt = Wire.nowMs() + lease.ttlMs;
        }
        return Wire.Reply.of(200, Json.object().put("ticket", ticket));
    }

    private void end(long ticket) {
        leases.remove(ticket);
        List<String> attached = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.ticket() == ticket) {
                attached.add(key);
            }
        });
        if (!attached.isEmpty()) {
            ledger++;
            attached.forEach(key -> change(key, null, 0));
        }
    }

    private void expireLeases() {
        while (true) {
            Wire.sleep(20);
            synchronized (this) {
                for (Long ticket : List.copyOf(leases.keySet())) {
                    if (Wire.nowMs() > leases.get(ticket).endsAt) {
                        end(ticket);
                    }
                }
            }
        }
    }

    private synchronized Wire.Reply follow(Wire.Request request) throws InterruptedException {
        String prefix = request.parameter("prefix", "");
        long after = Long.parseLong(request.parameter("after", "0"));
        long until = Wire.nowMs() + Math.min(60_000, Long.parseLong(request.parameter("waitMs", "0")));
        while (true) {
            if (changes.size() >= KEPT_CHANGES && after < changes.get(0).stamp()) {
                return Wire.Reply.of(410, "{}");
            }
            ObjectNode body = Json.object().put("ledger", ledger);
            ArrayNode log = body.putArray("log");
            for (int i = firstAfter(after); i < changes.size(); i++) {
                Change change = changes.get(i);
                if (change.key().startsWith(prefix)) {
                    ObjectNode event = log.addObject();
                    if (change.value() == null) {
                        event.put("remove", change.key());
                    } else {
                        event.put("set", change.key()).set("v", change.value());
                    }
                    event.put("stamp", change.stamp());
                }
            }
            long left = until - Wire.nowMs();
            if (!log.isEmpty() || left <= 0) {
                return Wire.Reply.of(200, body);
            }
            wait(left);
        }
    }

    private int firstAfter(long after) {
        int low = 0;
        int high = changes.size();
        while (low < high) {
            int middle = (low + high) / 2;
            if (changes.get(middle).stamp() <= after) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** The bytes of a key's value; 0 if there is none. */
    synchronized int bytes(String key) {
        Entry entry = keys.get(key);
        return entry == null ? 0 : Json.bytes(entry.value()).length;
    }

    /** The node named by the leader key, or an empty text. */
    synchronized String leader() {
        Entry entry = keys.get("leader");
        return entry == null ? "" : entry.value().path("node").asText();
    }
}
