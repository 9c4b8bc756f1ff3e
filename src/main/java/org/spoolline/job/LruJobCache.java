package org.spoolline.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.config.Constants;

/** The most recently used entries, by job, a bounded number. */
public final class LruJobCache<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;

    /** An empty cache. */
    public LruJobCache() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > Constants.Api.JOB_CACHE_SIZE;
    }
}
