package site;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys with versions, transactions on conditions, leases, watches, rate limits. */
final class Store {
    private record Entry(Object value, long version, long lease) {}

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private final List<Map<String, Object>> log = new ArrayList<>();
    private long ledger = 1;
    private long lastLease;
    private final Bucket requests;
    private final Bucket changes;
    private final int valueBytes;
    private final int txnOps;
    final int port;
    long refusedRequests;

    /** A limit per second that allows bursts of one second's worth. */
    private static final class Bucket {
        private final double rate;
        private double available;
        private long at = Record.now();

        Bucket(double rate) {
            this.rate = rate;
            available = rate;
        }

        boolean take(int amount) {
            long now = Record.now();
            available = Math.min(rate, available + (now - at) * rate / 1000);
            at = now;
            if (available < amount) {
                return false;
            }
            available -= amount;
            return true;
        }
    }

    Store(double rps, double writeRps, int valueKb, int txnOps) throws Exception {
        requests = new Bucket(rps);
        changes = new Bucket(writeRps);
        valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        port = Web.serve(0, this::handle);
        Thread expiry = new Thread(this::expireLeases);
        expiry.setDaemon(true);
        expiry.start();
    }

    private void expireLeases() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = Record.now();
                for (Long id : List.copyOf(leases.keySet())) {
                    if (leases.get(id).endsAt < now) {
                        endLease(id);
                    }
                }
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> ended = new ArrayList<>();
        keys.forEach((key, entry) -> {
            if (entry.lease() == id) {
                ended.add(key);
            }
        });
        if (!ended.isEmpty()) {
            ledger++;
            for (String key : ended) {
                keys.remove(key);
                log.add(Json.of("remove", key, "stamp", ledger));
            }
            notifyAll();
        }
    }

    private Web.Reply handle(String method, String path, Map<String, String> query, String body) throws Exception {
        synchronized (this) {
            if (!requests.take(1)) {
                refusedRequests++;
                return Web.Reply.of(429, Json.of("error", "too many requests"));
            }
            if (path.equals("/follow")) {
                return follow(query);
            } else if (path.equals("/keys")) {
                return list(query);
            } else if (path.startsWith("/keys/")) {
                return get(path.substring("/keys/".length()));
            } else if (path.equals("/commit")) {
                return commit(Json.object(body), body.length());
            } else if (path.equals("/leases")) {
                Lease lease = new Lease();
                lease.ttlMs = Json.number(Json.object(body).get("ttlMs"), 5000);
                lease.endsAt = Record.now() + lease.ttlMs + 50;
                leases.put(++lastLease, lease);
                return Web.Reply.of(200, Json.of("ticket", lastLease));
            }
            String[] parts = path.split("/");
            long id = Long.parseLong(parts[2]);
            Lease lease = leases.get(id);
            if (lease == null) {
                return Web.Reply.of(404, Json.of("error", "no such lease"));
            }
            if (method.equals("DELETE")) {
                endLease(id);
            } else {
                lease.endsAt = Record.now() + lease.ttlMs + 50;
            }
            return Web.Reply.of(200, Json.of("ticket", id));
        }
    }

    private Web.Reply get(String key) {
        Entry entry = keys.get(key);
        if (entry == null) {
            return Web.Reply.of(404, Json.of("ledger", ledger));
        }
        return Web.Reply.of(200, Json.of("key", key, "v", entry.value(), "stamp", entry.version()));
    }

    private Web.Reply list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        int size = 0;
        for (Map.Entry<String, Entry> e : keys.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (e.getKey().compareTo(after) <= 0) {
                continue;
            }
            size += Json.write(e.getValue().value()).length() + 100;
            if (pairs.size() == most || size > 512 * 1024) {
                more = true;
                break;
            }
            pairs.add(Json.of("key", e.getKey(), "v", e.getValue().value(), "stamp", e.getValue().version()));
        }
        return Web.Reply.of(200, Json.of("pairs", pairs, "hasNext", more, "ledger", ledger));
    }

    private Web.Reply follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long until = Record.now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = log.size() - 1; i >= 0 && Json.number(log.get(i).get("stamp"), 0) > after; i--) {
                Object key = log.get(i).getOrDefault("set", log.get(i).get("remove"));
                if (((String) key).startsWith(prefix)) {
                    found.add(0, log.get(i));
                }
            }
            long left = until - Record.now();
            if (!found.isEmpty() || left <= 0) {
                return Web.Reply.of(200, Json.of("ledger", ledger, "log", found));
            }
            wait(left);
        }
    }

    private Web.Reply commit(Map<String, Object> txn, int size) {
        List<Map<String, Object>> conditions = Json.objects(txn.get("if"));
        List<Map<String, Object>> writes = Json.objects(txn.get("writes"));
        if (!changes.take(writes.size())) {
            refusedRequests++;
            return Web.Reply.of(429, Json.of("error", "too many changes"));
        }
        if (writes.size() > txnOps || conditions.size() > 4 * txnOps || size > 64 * 1024) {
            return Web.Reply.of(400, Json.of("error", "transaction too large"));
        }
        for (Map<String, Object> write : writes) {
            if (write.containsKey("set") && Json.write(write.get("v")).length() > valueBytes) {
                return Web.Reply.of(400, Json.of("error", "value too large"));
            }
            long lease = Json.number(write.get("ticket"), 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return Web.Reply.of(400, Json.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> condition : conditions) {
            Entry entry = keys.get((String) condition.get("key"));
            if ((entry == null ? 0 : entry.version()) != Json.number(condition.get("stamp"), 0)) {
                failed.add(condition.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return Web.Reply.of(409, Json.of("failed", failed, "ledger", ledger));
        }
        if (writes.isEmpty()) {
            return Web.Reply.of(200, Json.of("ledger", ledger));
        }
        ledger++;
        for (Map<String, Object> write : writes) {
            if (write.get("set") instanceof String key) {
                keys.put(key, new Entry(write.get("v"), ledger, Json.number(write.get("ticket"), 0)));
                log.add(Json.of("set", key, "v", write.get("v"), "stamp", ledger));
            } else {
                keys.remove((String) write.get("remove"));
                log.add(Json.of("remove", write.get("remove"), "stamp", ledger));
            }
        }
        notifyAll();
        return Web.Reply.of(200, Json.of("ledger", ledger));
    }
}
