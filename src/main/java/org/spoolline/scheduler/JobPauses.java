package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.net.EventLoop;

/** Jobs that are left alone for a bounded time. */
final class JobPauses {
    private final EventLoop loop;
    private final Map<String, Long> pausedUntil = new HashMap<>();

    JobPauses(EventLoop loop) {
        this.loop = loop;
    }

    /** Ends every pause, as a new term does. */
    void clear() {
        pausedUntil.clear();
    }

    /** Pauses the job from now on. */
    void pause(String jobId, long durationMs) {
        pausedUntil.put(jobId, loop.now() + durationMs);
    }

    /** Ends the pauses whose time is up; to be called before {@link #isPaused}. */
    void expire() {
        long now = loop.now();
        pausedUntil.values().removeIf(deadline -> deadline <= now);
    }

    /** True while the job is paused, as of the last {@link #expire}. */
    boolean isPaused(String jobId) {
        return pausedUntil.containsKey(jobId);
    }
}
