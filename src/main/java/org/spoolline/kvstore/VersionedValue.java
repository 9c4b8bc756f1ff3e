package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The stored state of a key: its value and the version that a compare-and-swap on it must require.
 *
 * @param value the value; null if the key does not exist
 * @param version the revision of the last write to the key; 0 if the key does not exist
 */
public record VersionedValue(String key, JsonNode value, long version) {
    /** Returns the state of a key that does not exist; its version 0 makes a compare-and-swap create the key. */
    static VersionedValue absent(String key) {
        return new VersionedValue(key, null, 0);
    }

    /** Returns true if the key exists. */
    public boolean exists() {
        return version != 0;
    }
}
