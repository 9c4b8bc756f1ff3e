package org.spoolline.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;

/**
 * The leader's state of one live job. The committed value is known to be stored. The proposed value is being written:
 * it may be stored already, be stored later, or be rejected. Used on the event loop only.
 */
public final class JobEntry {
    private Pipeline committed;
    private long version;
    private Pipeline proposed;
    /** The newest watch event that was received while a write was in flight; null if there is none. */
    private WatchEvent deferred;

    private boolean cancellationObserved;
    /** Listed attempts of the committed value that this leader has released, that is, decided to have ended. */
    private final Set<Attempt> released = new HashSet<>();
    /** The number of unlisted attempts of the committed value that this leader has released. */
    private int releasedUnlisted;

    JobEntry(Pipeline committed, long version) {
        this.committed = committed;
        this.version = version;
    }

    /** The stored value, which is never modified in place. */
    public Pipeline committed() {
        return committed;
    }

    /** Version of the committed value in the key-value store. */
    public long version() {
        return version;
    }

    /** True while the outcome of a write of the job is unknown. */
    public boolean inFlight() {
        return proposed != null;
    }

    /** The value that is being written, or null while {@link #inFlight} is false. */
    public Pipeline proposed() {
        return proposed;
    }

    /**
     * True when the attempt is stored, no write in flight removes it, and it is not released. Only an active attempt
     * may be launched or continue to run.
     */
    public boolean isActive(Attempt attempt) {
        return committed.hasAttempt(attempt)
                && (proposed == null || proposed.hasAttempt(attempt))
                && !isReleased(attempt);
    }

    /**
     * True for a committed attempt that this leader has decided to have ended, while the stored value may still list
     * it.
     */
    public boolean isReleased(Attempt attempt) {
        return !released.isEmpty() && released.contains(attempt);
    }

    /**
     * True once a cancellation is known from any source. A cancellation is never reverted, so it takes effect even
     * while another value is being written.
     */
    public boolean cancelled() {
        return cancellationObserved || committed.cancelled() || proposed != null && proposed.cancelled();
    }

    /** The number of committed attempts, listed and unlisted, that are not released. */
    int activeAttempts() {
        int activeListed = committed.attempts().size() - released.size();
        return activeListed + committed.unlistedAttempts() - releasedUnlisted;
    }

    /**
     * Releases those of the assessed attempts that are committed but missing in {@code nextValue}. Sets the number of
     * released unlisted attempts to the difference between the numbers in the two values.
     */
    void release(Pipeline nextValue, Collection<Attempt> assessed) {
        for (Attempt attempt : assessed) {
            if (committed.hasAttempt(attempt) && !nextValue.hasAttempt(attempt)) {
                released.add(attempt);
            }
        }
        releasedUnlisted = Math.max(0, committed.unlistedAttempts() - nextValue.unlistedAttempts());
    }

    /** Records that the value is stored. Released attempts that it no longer contains need no further tracking. */
    void commit(Pipeline value, long newVersion) {
        committed = value;
        version = newVersion;
        released.removeIf(attempt -> !value.hasAttempt(attempt));
        releasedUnlisted = 0;
    }

    /** Records that a write of this value is in flight; null if none is. */
    void propose(Pipeline nextValue) {
        proposed = nextValue;
    }

    void markCancelled() {
        cancellationObserved = true;
    }

    /**
     * Stores an event that arrives during a write until the outcome of the write is known. Only the newest event is
     * kept.
     */
    void defer(WatchEvent event) {
        if (deferred == null || deferred.version() < event.version()) {
            deferred = event;
        }
        // An unanswered write may stay in flight for minutes. The tasks of a cancelled job have to be stopped without
        // waiting for it.
        if (!event.isDeletion() && Pipeline.isStoredAsCancelled(event.value())) {
            markCancelled();
        }
    }

    /** Removes and returns the newest deferred event, or null if there is none. */
    WatchEvent pollDeferred() {
        WatchEvent event = deferred;
        deferred = null;
        return event;
    }
}
