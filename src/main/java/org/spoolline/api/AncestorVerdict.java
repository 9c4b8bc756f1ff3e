package org.spoolline.api;

/**
 * What is known of all ancestors of a job: its dependencies, their dependencies and so on. The constants are in the order
 * of precedence, the weakest first, and {@link #combine} relies on that order.
 */
enum AncestorVerdict {
    /** No ancestor was cancelled when it was read. */
    NONE_CANCELLED,
    /** An ancestor is cancelled, so the job is to be cancelled with it. */
    CANCELLED,
    /** An ancestor could not be read since this node's share of the store's rate limit is used up for now. */
    RATE_LIMITED,
    /** An ancestor could not be read since the store gave no answer. */
    STORE_UNREACHABLE,
    /** A dependency was never accepted, or a direct one is a service, which runs until it is cancelled. */
    UNSATISFIABLE;

    /**
     * The verdict on two sets of ancestors together. That a job can never run holds whatever the others are. A failed read
     * comes before a cancellation: the ancestor that was not read may yet be one that makes the job unsatisfiable, which
     * would have to be rejected.
     */
    AncestorVerdict combine(AncestorVerdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
