package org.spoolline.autoscaler;

/** Why a machine is released. */
enum ReleaseReason {
    /** It sent no heartbeat within a multiple of its type's boot time. */
    BOOT_TIMEOUT("boot_timeout"),
    /** It sent no heartbeat for long. */
    HEARTBEAT_TIMEOUT("heartbeat_timeout"),
    /** Its heartbeats arrive, but the responses to them don't, so that no launch would. */
    DOWNLINK_UNREACHABLE("downlink_unreachable"),
    /** It had no work for long. */
    IDLE("idle"),
    /** It was drained, and its work has ended. */
    DRAINED("drained");

    private final String label;

    ReleaseReason(String label) {
        this.label = label;
    }

    /** The reason as log lines show it. */
    @Override
    public String toString() {
        return label;
    }
}
