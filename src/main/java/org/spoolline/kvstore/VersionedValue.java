package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A key as it is stored: its value and the version that a compare-and-swap on it has to name.
 *
 * @param value the value; null when the key does not exist
 * @param version the revision that last wrote the key; 0 when the key does not exist
 */
public record VersionedValue(String key, JsonNode value, long version) {
    /** A key that does not exist. A transaction that requires its version 0 creates it. */
    static VersionedValue absent(String key) {
        return new VersionedValue(key, null, 0);
    }

    /** True when the key exists. */
    public boolean exists() {
        return version != 0;
    }
}
