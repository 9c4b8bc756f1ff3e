package org.spoolline.config;

/** Values used where settings are missing or unusable: each allows no more than any usual setting. */
final class SettingsDefaults {
    private SettingsDefaults() {}

    /** Requests a second to the key-value store: few, since more might be rejected. */
    static final double STORE_RPS = 20;
    /** Changes a second to the key-value store: few, since more might be rejected. */
    static final double STORE_WRITE_RPS = 8;
    /** Bytes of a stored value: enough for any job, with a few hundred scattered tasks. */
    static final int VALUE_BYTES = 2 * 1024;
    /** Changes in a transaction: those of an election and of a job's end. */
    static final int TRANSACTION_WRITES = 2;
    /** Heartbeats within a worker's lease: the longest interval at which a lease survives a lost one. */
    static final int HEARTBEATS_PER_LEASE = 3;
    /**
     * Ms that a gang's tasks are assumed to wait for one another: short, so that few incomplete gangs are
     * completed.
     */
    static final long GANG_WAIT_MS = 10_000;
    /** Ms in which a gang's tasks notice a lost one; nothing depends on it here. */
    static final long GANG_PEER_MS = 1_000;
    /** Requests a second to the cloud: few, since more might be rejected. */
    static final double CLOUD_RPS = 1;
    /** Ms by which the machine list lags: long, since machines are lost if it is taken too short. */
    static final long CLOUD_LIST_LAG_MS = 30_000;
    /** Share of a core: as for the smallest, for which a leadership lease is longest. */
    static final double CPU_SHARE = 0;
}
