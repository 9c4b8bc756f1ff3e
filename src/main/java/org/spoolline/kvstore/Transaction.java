package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A compare-and-swap transaction under construction: its writes are applied together, and only if every condition holds.
 * The same transaction may be sent more than once.
 */
public final class Transaction {
    /** A key's version that is required; 0 requires that the key does not exist. */
    record Condition(String key, long version) {}

    /** One change of a key. */
    sealed interface Write permits Put, LeasedPut, Delete {}

    /** Sets a key. */
    record Put(String key, JsonNode value) implements Write {}

    /** Sets a key that is removed with its lease. */
    record LeasedPut(String key, JsonNode value, long lease) implements Write {}

    /** Removes a key. */
    record Delete(String key) implements Write {}

    private final List<Condition> conditions = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();

    /** Requires the key's version; 0 requires that the key does not exist. */
    public Transaction requireVersion(String key, long version) {
        conditions.add(new Condition(key, version));
        return this;
    }

    /** Sets a key. The value is encoded when the transaction is sent. */
    public Transaction put(String key, JsonNode value) {
        writes.add(new Put(key, value));
        return this;
    }

    /** Sets a key that the store removes when the lease ends. */
    public Transaction putWithLease(String key, JsonNode value, long lease) {
        writes.add(new LeasedPut(key, value, lease));
        return this;
    }

    /** Removes a key. */
    public Transaction delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** Number of writes so far: what the transaction costs of the write rate limit. */
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
