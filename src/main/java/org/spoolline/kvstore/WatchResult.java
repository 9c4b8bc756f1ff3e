package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of waiting for changes under a prefix.
 *
 * @param answered false when the store refused the watch or gave no answer in time
 * @param compacted true when the store no longer keeps the changes after the given revision: only a fresh listing tells
 *     what is stored. Such a watch counts as not answered
 * @param events the changes in the order of their revisions; empty when none came in time
 * @param revision the revision that the next watch goes on from
 */
public record WatchResult(boolean answered, boolean compacted, List<WatchEvent> events, long revision) {
    /** An answered watch. */
    static WatchResult of(List<WatchEvent> events, long revision) {
        return new WatchResult(true, false, events, revision);
    }

    /** A watch that is to be repeated after the same revision. */
    static WatchResult noAnswer(long revision) {
        return new WatchResult(false, false, List.of(), revision);
    }

    /** A watch that came too late for the store's history. */
    static WatchResult compactedSince(long revision) {
        return new WatchResult(false, true, List.of(), revision);
    }
}
