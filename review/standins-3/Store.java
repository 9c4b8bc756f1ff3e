import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL, in memory: keys, transactions, leases, watches, limits. */
final class Store {
    private static final int MAX_CHANGES = 10_000;
    private static final int MAX_LIST_BYTES = 512 * 1024;

    private record Value(Object json, int bytes, long stamp, long lease) {}

    private record Change(long stamp, String key, Object json) {}

    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Long> leaseTtlMs = new HashMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private long ledger;
    private long lastLease;
    private long firstKept = 1;
    private double requests;
    private double writes;
    private long refilledAt = System.nanoTime();

    Store(double rps, double writeRps, int valueBytes, int txnOps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        requests = rps;
        writes = writeRps;
    }

    /** The value of a key; null if there is none. */
    synchronized Object get(String key) {
        Value value = values.get(key);
        return value == null ? null : value.json();
    }

    Wire.Reply handle(Wire.Request request) throws InterruptedException {
        String path = request.path();
        if (path.equals("/follow")) {
            return follow(query(request.query()));
        }
        synchronized (this) {
            expireLeases();
            if (!take(0)) {
                return tooMany();
            }
            if (path.equals("/commit")) {
                return commit(request.body());
            } else if (path.equals("/keys")) {
                return list(query(request.query()));
            } else if (path.startsWith("/keys/")) {
                return read(path.substring("/keys/".length()));
            }
            return lease(request);
        }
    }

    private static Wire.Reply tooMany() {
        return Wire.reply(429, Json.of("error", "too many requests"));
    }

    private static Map<String, String> query(String query) {
        Map<String, String> fields = new HashMap<>();
        for (String field : query.split("&")) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return fields;
    }

    private void refill() {
        long now = System.nanoTime();
        double seconds = (now - refilledAt) / 1e9;
        refilledAt = now;
        requests = Math.min(rps, requests + seconds * rps);
        writes = Math.min(writeRps, writes + seconds * writeRps);
    }

    private boolean take(int writeCount) {
        refill();
        if (writeCount == 0) {
            if (requests < 1) {
                return false;
            }
            requests -= 1;
            return true;
        }
        if (writes < writeCount) {
            return false;
        }
        writes -= writeCount;
        return true;
    }

    private Wire.Reply read(String key) {
        Value value = values.get(key);
        if (value == null) {
            return Wire.reply(404, Json.of("ledger", ledger));
        }
        Map<String, Object> body = Json.of("key", key, "v", value.json(), "stamp", value.stamp());
        if (value.lease() != 0) {
            body.put("ticket", value.lease());
        }
        return Wire.reply(200, body);
    }

    private Wire.Reply list(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> pairs = new ArrayList<>();
        int bytes = 0;
        boolean hasNext = false;
        String from = after.compareTo(prefix) > 0 ? after : prefix;
        for (Map.Entry<String, Value> entry : values.tailMap(from, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().equals(after)) {
                continue;
            }
            int size = entry.getValue().bytes() + entry.getKey().length() + 60;
            if (pairs.size() >= most || bytes + size > MAX_LIST_BYTES) {
                hasNext = true;
                break;
            }
            bytes += size;
            pairs.add(Json.of("key", entry.getKey(), "v", entry.getValue().json(), "stamp", entry.getValue().stamp()));
        }
        return Wire.reply(200, Json.of("pairs", pairs, "hasNext", hasNext, "ledger", ledger));
    }

    private Wire.Reply commit(String text) {
        if (text.length() > 64 * 1024) {
            return Wire.reply(400, Json.of("error", "too large"));
        }
        Map<String, Object> body = Json.object(text);
        List<Object> conditions = Json.list(body.get("if"));
        List<Object> changesToMake = Json.list(body.get("writes"));
        if (changesToMake.size() > txnOps || conditions.size() > 4 * txnOps) {
            return Wire.reply(400, Json.of("error", "too many operations"));
        }
        for (Object change : changesToMake) {
            Map<String, Object> fields = Json.map(change);
            if (fields.containsKey("set") && Json.write(fields.get("v")).length() > valueBytes) {
                return Wire.reply(400, Json.of("error", "value too large"));
            }
            if (fields.get("ticket") != null && !leaseEnds.containsKey(Json.number(fields.get("ticket")))) {
                return Wire.reply(400, Json.of("error", "no such lease"));
            }
        }
        if (!changesToMake.isEmpty() && !take(changesToMake.size())) {
            return tooMany();
        }
        List<Object> failed = new ArrayList<>();
        for (Object condition : conditions) {
            Map<String, Object> fields = Json.map(condition);
            Value value = values.get((String) fields.get("key"));
            if ((value == null ? 0 : value.stamp()) != Json.number(fields.get("stamp"))) {
                failed.add(fields.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return Wire.reply(409, Json.of("failed", failed, "ledger", ledger));
        }
        if (!changesToMake.isEmpty()) {
            ledger++;
        }
        for (Object change : changesToMake) {
            Map<String, Object> fields = Json.map(change);
            if (fields.containsKey("set")) {
                Object json = fields.get("v");
                String key = (String) fields.get("set");
                values.put(key, new Value(json, Json.write(json).length(), ledger, Json.number(fields.get("ticket"))));
                changes.add(new Change(ledger, key, json));
            } else {
                remove((String) fields.get("remove"));
            }
        }
        changed();
        return Wire.reply(200, Json.of("ledger", ledger));
    }

    private void remove(String key) {
        if (values.remove(key) != null) {
            changes.add(new Change(ledger, key, null));
        }
    }

    private void changed() {
        while (changes.size() > MAX_CHANGES) {
            firstKept = changes.remove(0).stamp() + 1;
        }
        notifyAll();
    }

    private Wire.Reply lease(Wire.Request request) {
        String[] parts = request.path().split("/");
        long now = System.nanoTime() / 1_000_000;
        if (request.method().equals("POST") && parts.length == 2) {
            long ttlMs = Json.number(Json.object(request.body()).get("ttlMs"));
            leaseTtlMs.put(++lastLease, ttlMs);
            leaseEnds.put(lastLease, now + ttlMs);
            return Wire.reply(200, Json.of("ticket", lastLease));
        }
        long lease = Long.parseLong(parts[2]);
        if (!leaseEnds.containsKey(lease)) {
            return Wire.reply(404, Json.of("error", "no such lease"));
        }
        if (request.method().equals("DELETE")) {
            endLease(lease);
        } else {
            leaseEnds.put(lease, now + leaseTtlMs.get(lease));
        }
        return Wire.reply(200, Json.of("ticket", lease));
    }

    /** Ends the leases whose time is over; called before each request and every few milliseconds. */
    synchronized void expireLeases() {
        long now = System.nanoTime() / 1_000_000;
        for (Map.Entry<Long, Long> lease : List.copyOf(leaseEnds.entrySet())) {
            if (now > lease.getValue()) {
                endLease(lease.getKey());
            }
        }
    }

    private void endLease(long lease) {
        leaseEnds.remove(lease);
        List<String> keys = new ArrayList<>();
        values.forEach((key, value) -> {
            if (value.lease() == lease) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            ledger++;
            keys.forEach(this::remove);
            changed();
        }
    }

    private synchronized Wire.Reply follow(Map<String, String> query) throws InterruptedException {
        if (!take(0)) {
            return tooMany();
        }
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        while (true) {
            if (after + 1 < firstKept) {
                return Wire.reply(410, Json.of("error", "too old"));
            }
            List<Object> log = new ArrayList<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > after; i--) {
                Change change = changes.get(i);
                if (change.key().startsWith(prefix)) {
                    log.add(0, change.json() == null
                            ? Json.of("remove", change.key(), "stamp", change.stamp())
                            : Json.of("set", change.key(), "v", change.json(), "stamp", change.stamp()));
                }
            }
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!log.isEmpty() || leftMs <= 0) {
                return Wire.reply(200, Json.of("ledger", ledger, "log", log));
            }
            wait(Math.max(1, leftMs));
        }
    }
}
