package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The data of the {@link FakeKeyValueStore}: values by key, the log of changes, and leases. */
final class KeyValueData {
    /** A value, the revision of its last change, and the id of its lease or 0 for none. */
    record StoredValue(JsonNode json, long revision, long lease) {}

    /** A change of a key in a revision; {@code value} is null if the key was removed. */
    record Change(long revision, String key, JsonNode value) {}

    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<Change> changeLog = new ArrayList<>();
    private final Map<Long, Long> leaseExpiries = new LinkedHashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision;
    private long leaseCount;

    long revision() {
        return revision;
    }

    Optional<StoredValue> get(String key) {
        return Optional.ofNullable(values.get(key));
    }

    /** All entries whose keys sort after the given key, in key order. */
    NavigableMap<String, StoredValue> entriesAfter(String key) {
        return values.tailMap(key, false);
    }

    /** All changes of keys with the prefix in revisions after the given one, oldest first. */
    List<Change> changesSince(long afterRevision, String prefix) {
        List<Change> changes = new ArrayList<>();
        for (Change change : changeLog) {
            if (change.revision() > afterRevision && change.key().startsWith(prefix)) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** Increments the revision; all changes until the next call belong to it. */
    void beginRevision() {
        revision++;
    }

    void set(String key, JsonNode value, long lease) {
        values.put(key, new StoredValue(value, revision, lease));
        changeLog.add(new Change(revision, key, value));
    }

    void remove(String key) {
        if (values.remove(key) != null) {
            changeLog.add(new Change(revision, key, null));
        }
    }

    long createLease(long ttlMs, long now) {
        long lease = ++leaseCount;
        leaseTtls.put(lease, ttlMs);
        leaseExpiries.put(lease, now + ttlMs);
        return lease;
    }

    boolean hasLease(long lease) {
        return leaseExpiries.containsKey(lease);
    }

    void renewLease(long lease, long now) {
        leaseExpiries.put(lease, now + leaseTtls.get(lease));
    }

    /** Renews every lease for its full duration. */
    void renewAllLeases(long now) {
        leaseExpiries.replaceAll((lease, expiry) -> now + leaseTtls.get(lease));
    }

    List<Long> expiredLeases(long now) {
        List<Long> expired = new ArrayList<>();
        leaseExpiries.forEach((lease, expiry) -> {
            if (expiry <= now) {
                expired.add(lease);
            }
        });
        return expired;
    }

    /** Deletes a lease and removes its keys in a new revision. */
    void deleteLease(long lease) {
        leaseExpiries.remove(lease);
        beginRevision();
        for (String key : List.copyOf(values.keySet())) {
            if (values.get(key).lease() == lease) {
                remove(key);
            }
        }
    }
}
