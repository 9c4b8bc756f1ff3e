package org.spoolline.kvstore;

/** Outcome of one attempt to commit a transaction. */
public enum CommitOutcome {
    /** The store applied all writes at one revision. */
    APPLIED,
    /** Not applied: at least one condition does not hold. */
    CONFLICT,
    /** Not applied: the request exceeded the rate limit of the store, or the store is unavailable. */
    REFUSED,
    /** Not applied: a write refers to a lease that no longer exists. */
    LEASE_EXPIRED,
    /** Not applied: it exceeds a size limit on values or transactions, so an unchanged retry fails too. */
    TOO_LARGE,
    /** No response, or an unexpected one: the store may have applied the transaction, or may still apply it. */
    UNKNOWN
}
