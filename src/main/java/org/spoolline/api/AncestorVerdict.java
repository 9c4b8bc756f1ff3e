package org.spoolline.api;

/**
 * Result of checking all ancestors of a job: its dependencies, their dependencies and so on. The constants are declared
 * in ascending order of precedence, and {@link #combine} depends on that order.
 */
enum AncestorVerdict {
    /** No ancestor was cancelled when it was read. */
    NONE_CANCELLED,
    /** At least one ancestor is cancelled, so the job must be cancelled too. */
    CANCELLED,
    /** An ancestor could not be read because this node's share of the store's rate limit is exhausted. */
    RATE_LIMITED,
    /** An ancestor could not be read because the store did not respond. */
    STORE_UNREACHABLE,
    /** A dependency was never accepted, or a direct one is a service, which runs until it is cancelled. */
    UNSATISFIABLE;

    /**
     * Returns the verdict of higher precedence. An unsatisfiable dependency has the highest one, since the job can then
     * never run, regardless of the other ancestors. A failed read takes precedence over a cancellation: the ancestor
     * that could not be read may make the job unsatisfiable, and the job would then have to be rejected.
     */
    AncestorVerdict combine(AncestorVerdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
