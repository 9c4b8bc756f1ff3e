package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of listing the keys under a prefix.
 *
 * @param answered false when a page was refused or got no answer; the values are then empty and mean nothing
 * @param revision the revision of the first page: a watch after it sees every change that a later page may have missed
 */
public record ListResult(boolean answered, List<VersionedValue> values, long revision) {
    /** A complete listing. */
    static ListResult of(List<VersionedValue> values, long revision) {
        return new ListResult(true, values, revision);
    }

    /** A listing of which at least one page is missing. */
    static ListResult noAnswer() {
        return new ListResult(false, List.of(), 0);
    }
}
