package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Builder of a compare-and-swap transaction. The store applies all of its writes atomically, and only if every
 * condition holds. The same transaction may be sent more than once.
 */
public final class Transaction {
    /** Requires that the key has the given version; version 0 requires that the key does not exist. */
    record Condition(String key, long version) {}

    /** One write to a key. */
    sealed interface Write permits Put, LeasedPut, Delete {}

    /** Sets a key to a value. */
    record Put(String key, JsonNode value) implements Write {}

    /** Sets a key to a value; the store removes the key when the lease ends. */
    record LeasedPut(String key, JsonNode value, long leaseId) implements Write {}

    /** Deletes a key. */
    record Delete(String key) implements Write {}

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /** Adds the condition that the key has the given version; version 0 requires that the key does not exist. */
    public Transaction requireVersion(String key, long version) {
        conditions.add(new Condition(key, version));
        return this;
    }

    /** Adds a write of a key. The value is not copied; it is encoded when the transaction is sent. */
    public Transaction put(String key, JsonNode value) {
        writes.add(new Put(key, value));
        return this;
    }

    /** Adds a write of a key that the store removes when the lease ends. */
    public Transaction putWithLease(String key, JsonNode value, long leaseId) {
        writes.add(new LeasedPut(key, value, leaseId));
        return this;
    }

    /** Adds the deletion of a key. */
    public Transaction delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** Returns the number of writes added so far, each of which counts against the write rate limit. */
    public int writeCount() {
        return writes.size();
    }

    List<Condition> conditions() {
        return conditions;
    }

    List<Write> writes() {
        return writes;
    }
}
