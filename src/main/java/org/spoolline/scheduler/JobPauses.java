package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.net.EventLoop;

/** Jobs that are excluded from placement or writing until a deadline. */
final class JobPauses {
    private final EventLoop loop;
    private final Map<String, Long> pausedUntil = new HashMap<>();

    JobPauses(EventLoop loop) {
        this.loop = loop;
    }

    /** Ends all pauses, for a new term. */
    void clear() {
        pausedUntil.clear();
    }

    /** Pauses the job for the given time from now; replaces an earlier pause. */
    void pause(String jobId, long durationMs) {
        pausedUntil.put(jobId, loop.now() + durationMs);
    }

    /** Ends the pauses whose deadline has passed. Callers run this before {@link #isPaused}. */
    void expire() {
        long now = loop.now();
        pausedUntil.values().removeIf(deadline -> deadline <= now);
    }

    /** True when the job was paused as of the last call of {@link #expire}. */
    boolean isPaused(String jobId) {
        return pausedUntil.containsKey(jobId);
    }
}
