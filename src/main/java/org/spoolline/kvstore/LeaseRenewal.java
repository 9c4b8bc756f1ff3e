package org.spoolline.kvstore;

/** Result of renewing a lease. */
public enum LeaseRenewal {
    /** The lease has its full time to live again, counted from some moment after the request was sent. */
    RENEWED,
    /** The lease no longer exists, and the store has removed the keys written with it. */
    EXPIRED,
    /** The store refused or did not respond: the lease may or may not still exist. */
    NO_ANSWER
}
