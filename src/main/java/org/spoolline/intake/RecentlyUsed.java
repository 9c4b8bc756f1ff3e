package org.spoolline.intake;

import java.util.LinkedHashMap;
import java.util.Map;
import org.spoolline.settings.Constants;

/** The most recently used entries, by job, a bounded number. */
final class RecentlyUsed<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;

    RecentlyUsed() {
        super(16, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > Constants.JOBS_REMEMBERED;
    }
}
