package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of a watch for changes of the keys with a prefix.
 *
 * @param answered false if the store refused the watch or did not respond in time, or if {@code compacted}
 * @param compacted true if the store has compacted changes after the requested revision, so that the current state can
 *     only be read by a new listing
 * @param events the changes in the order of their revisions; empty if nothing changed during the wait time
 * @param revision the revision from which the next watch continues
 */
public record WatchResult(boolean answered, boolean compacted, List<WatchEvent> events, long revision) {
    /** Result of an answered watch. */
    static WatchResult of(List<WatchEvent> events, long revision) {
        return new WatchResult(true, false, events, revision);
    }

    /** Result of a watch that got no usable response and should be retried from the same revision. */
    static WatchResult noAnswer(long revision) {
        return new WatchResult(false, false, List.of(), revision);
    }

    /** Result of a watch whose revision is older than the history that the store keeps. */
    static WatchResult compactedSince(long revision) {
        return new WatchResult(false, true, List.of(), revision);
    }
}
