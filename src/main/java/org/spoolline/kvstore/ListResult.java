package org.spoolline.kvstore;

import java.util.List;

/**
 * Result of listing the keys with a prefix.
 *
 * @param answered false if the store refused a page or did not respond; the empty list of values then does not indicate
 *     that no key exists
 * @param revision the revision of the first page; a watch from it reports every change that later pages may have missed
 */
public record ListResult(boolean answered, List<VersionedValue> values, long revision) {
    /** Result of a complete listing. */
    static ListResult of(List<VersionedValue> values, long revision) {
        return new ListResult(true, values, revision);
    }

    /** Result of a listing that lacks at least one page. */
    static ListResult noAnswer() {
        return new ListResult(false, List.of(), 0);
    }
}
