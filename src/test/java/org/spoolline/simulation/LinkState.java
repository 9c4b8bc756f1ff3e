package org.spoolline.simulation;

/** What happens to packets on a link between two hosts. */
public enum LinkState {
    /** They arrive after a random delay. */
    CONNECTED,
    /** They are lost. */
    LOST,
    /** They are kept, and arrive in order once the link is connected again. */
    DELAYED
}
