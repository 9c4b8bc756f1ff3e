package org.spoolline.config;

/** Defaults for missing or invalid settings, each at least as conservative as any usual setting. */
final class SettingsDefaults {
    private SettingsDefaults() {}

    /** Requests per second to the key-value store: low, since the store might reject more. */
    static final double STORE_RPS = 20;
    /** Writes per second to the key-value store: low, since the store might reject more. */
    static final double STORE_WRITE_RPS = 8;
    /** Maximum bytes of a stored value: enough for any job with a few hundred scattered tasks. */
    static final int VALUE_BYTES = 2 * 1024;
    /** Writes in a transaction: as many as an election or the end of a job needs. */
    static final int TRANSACTION_WRITES = 2;
    /** Heartbeats per worker lease: the longest heartbeat interval at which a lease survives a lost heartbeat. */
    static final int HEARTBEATS_PER_LEASE = 3;
    /**
     * Time in ms for which a gang's tasks wait for one another: short, so that members are rarely added to a partly
     * placed gang.
     */
    static final long GANG_WAIT_MS = 10_000;
    /** Time in ms within which a gang's tasks detect the loss of a member; the controller does not use it. */
    static final long GANG_PEER_MS = 1_000;
    /** Requests per second to the cloud: low, since the cloud might reject more. */
    static final double CLOUD_RPS = 1;
    /** Lag in ms of the machine list: long, since too short a value makes the controller lose machines. */
    static final long CLOUD_LIST_LAG_MS = 30_000;
    /** Share of a core: 0, the smallest one, for which the leadership lease is longest. */
    static final double CPU_SHARE = 0;
}
