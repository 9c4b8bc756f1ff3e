package org.spoolline.kvstore;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One committed change of a key.
 *
 * @param value the written value; null for a deletion, see {@link #isDeletion}
 * @param version the revision of the change
 */
public record WatchEvent(String key, JsonNode value, long version) {
    /** Returns true if a transaction deleted the key or the key expired with its lease. */
    public boolean isDeletion() {
        return value == null;
    }
}
