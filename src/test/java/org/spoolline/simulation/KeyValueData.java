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

/** The data of the {@link FakeKeyValueStore}: values by key, the log of their changes, and leases. */
final class KeyValueData {
    /** A value, the revision of its last change, and its lease or 0. */
    record StoredValue(JsonNode json, long revision, long lease) {}

    /** A change at a revision; {@code value} is null for a removal. */
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

    /** All values with a later key, in order of key. */
    NavigableMap<String, StoredValue> entriesAfter(String key) {
        return values.tailMap(key, false);
    }

    /** The changes after a revision to keys with the prefix, oldest first. */
    List<Change> changesSince(long afterRevision, String prefix) {
        List<Change> changes = new ArrayList<>();
        for (Change change : changeLog) {
            if (change.revision() > afterRevision && change.key().startsWith(prefix)) {
                changes.add(change);
            }
        }
        return changes;
    }

    /** Begins a new revision, which the next changes share. */
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

    /** Gives every lease its full time again. */
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

    /** Ends a lease and removes its values in a new revision. */
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
