package org.spoolline.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;

/**
 * One live job as its leader knows it. The committed value is stored; the proposed one may be, may yet be, or may never be.
 * Used on the event loop only.
 */
public final class JobEntry {
    private Pipeline committed;
    private long version;
    private Pipeline proposed;
    /** The newest event that was observed while a write was in flight, or null. */
    private WatchEvent deferred;

    private boolean cancellationObserved;
    /** Committed attempts that this leader has decided to have ended. */
    private final Set<Attempt> released = new HashSet<>();
    /** Unlisted attempts of the committed value that it has decided to have ended. */
    private int releasedUnlisted;

    JobEntry(Pipeline committed, long version) {
        this.committed = committed;
        this.version = version;
    }

    /** The stored value, which is never changed in place. */
    public Pipeline committed() {
        return committed;
    }

    /** Version of the committed value in the key-value store. */
    public long version() {
        return version;
    }

    /** True while a write of the job has no known outcome. */
    public boolean inFlight() {
        return proposed != null;
    }

    /** The value that is being written, or null while {@link #inFlight} is false. */
    public Pipeline proposed() {
        return proposed;
    }

    /**
     * True when the attempt is stored, no write in flight removes it, and its end is not decided. Only such an attempt may be
     * launched or run on.
     */
    public boolean isActive(Attempt attempt) {
        return committed.hasAttempt(attempt)
                && (proposed == null || proposed.hasAttempt(attempt))
                && !isReleased(attempt);
    }

    /** True for a committed attempt whose end is decided, though perhaps not stored. */
    public boolean isReleased(Attempt attempt) {
        return !released.isEmpty() && released.contains(attempt);
    }

    /** True once a cancellation is known. Nothing undoes one, so it counts whatever is being written. */
    public boolean cancelled() {
        return cancellationObserved || committed.cancelled() || proposed != null && proposed.cancelled();
    }

    /** Number of committed attempts, listed or not, whose end is not decided. */
    int activeAttempts() {
        int activeListed = committed.attempts().size() - released.size();
        return activeListed + committed.unlistedAttempts() - releasedUnlisted;
    }

    /** Notes that those of the committed attempts given which {@code nextValue} lacks have ended. */
    void release(Pipeline nextValue, Collection<Attempt> assessed) {
        for (Attempt attempt : assessed) {
            if (committed.hasAttempt(attempt) && !nextValue.hasAttempt(attempt)) {
                released.add(attempt);
            }
        }
        releasedUnlisted = Math.max(0, committed.unlistedAttempts() - nextValue.unlistedAttempts());
    }

    /** Notes that the value is stored; what it lacks is no longer released but gone. */
    void commit(Pipeline value, long newVersion) {
        committed = value;
        version = newVersion;
        released.removeIf(attempt -> !value.hasAttempt(attempt));
        releasedUnlisted = 0;
    }

    /** Notes that a write of this value is in flight; null for none. */
    void propose(Pipeline nextValue) {
        proposed = nextValue;
    }

    void markCancelled() {
        cancellationObserved = true;
    }

    /** Keeps an event that arrives during a write until the outcome of the write is known. */
    void defer(WatchEvent event) {
        if (deferred == null || deferred.version() < event.version()) {
            deferred = event;
        }
        // A write without an answer may stay in flight for minutes; stopping the tasks must not wait for it.
        if (!event.isDeletion() && Pipeline.isStoredAsCancelled(event.value())) {
            markCancelled();
        }
    }

    /** The newest deferred event, or null; it is not kept any longer. */
    WatchEvent pollDeferred() {
        WatchEvent event = deferred;
        deferred = null;
        return event;
    }
}
