package org.spoolline.kvstore;

/** What became of one copy of a transaction that was sent. */
public enum CommitOutcome {
    /** All of its writes were applied, at one revision. */
    APPLIED,
    /** Not applied: a condition does not hold. */
    CONFLICT,
    /** Not applied: the store is over its rate limit or not available. */
    REFUSED,
    /** Not applied: the lease of one of its writes does not exist any more. */
    LEASE_EXPIRED,
    /** Not applied: it exceeds a limit on values or transactions, so sent again unchanged it fails again. */
    TOO_LARGE,
    /** No answer: it may have been applied, or may yet be. */
    UNKNOWN
}
