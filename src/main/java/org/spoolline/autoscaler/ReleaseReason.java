package org.spoolline.autoscaler;

/** Reason for which a machine is released. */
enum ReleaseReason {
    /** The machine sent no heartbeat within a multiple of the boot time of its type. */
    BOOT_TIMEOUT("boot_timeout"),
    /** The machine has stopped sending heartbeats. */
    HEARTBEAT_TIMEOUT("heartbeat_timeout"),
    /**
     * The leader receives the machine's heartbeats, but the machine does not receive the responses, which carry
     * launches.
     */
    DOWNLINK_UNREACHABLE("downlink_unreachable"),
    /** The machine has had no work for the idle timeout. */
    IDLE("idle"),
    /** The machine is draining and its work has ended. */
    DRAINED("drained");

    private final String label;

    ReleaseReason(String label) {
        this.label = label;
    }

    /** Returns the reason as written to logs. */
    @Override
    public String toString() {
        return label;
    }
}
