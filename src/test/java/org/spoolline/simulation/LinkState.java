package org.spoolline.simulation;

/** The state of a link between two hosts, which decides what happens to its packets. */
public enum LinkState {
    /** Packets arrive after a random delay. */
    CONNECTED,
    /** Packets are dropped. */
    LOST,
    /** Packets are buffered and delivered once the link is connected again. */
    DELAYED
}
