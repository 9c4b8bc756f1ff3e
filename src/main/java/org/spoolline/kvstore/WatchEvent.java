package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One committed change of a key.
 *
 * @param value the value written; null for a deletion, see {@link #isDeletion}
 * @param version the revision of the change
 */
public record WatchEvent(String key, JsonNode value, long version) {
    /** True when the change removed the key, by a transaction or with its lease. */
    public boolean isDeletion() {
        return value == null;
    }
}
