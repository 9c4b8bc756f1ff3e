package org.spoolline.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.config.Constants;

/**
 * A cache by job id that holds at most {@link Constants.Api#JOB_CACHE_SIZE} entries and evicts the least recently
 * used one. Reads and writes of an entry count as use; {@link #containsKey} does not. Not thread-safe.
 */
public final class LruJobCache<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /** Creates an empty cache. */
    public LruJobCache() {
        super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > Constants.Api.JOB_CACHE_SIZE;
    }
}
