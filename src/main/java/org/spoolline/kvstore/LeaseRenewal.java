package org.spoolline.kvstore;

/** Result of renewing a lease. */
public enum LeaseRenewal {
    /** The lease lives for its whole time again, counted from some moment after the renewal was sent. */
    RENEWED,
    /** The lease does not exist any more, and neither do the keys written with it. */
    EXPIRED,
    /** The store refused or did not answer: the lease may live or not. */
    NO_ANSWER
}
