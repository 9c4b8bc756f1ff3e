package org.spoolline.config;

/** Sample settings file of a node without peers, as the platform writes it; tests replace single lines. */
public final class SampleSettings {
    private SampleSettings() {}

    /** All fields that this version reads except objectives and announced limits, and one unknown field. */
    public static final String NODE =
            """
            node_name = "n0"
            domain = "a"
            serve_on = "10.0.0.1:8080"
            internal_addr = "10.0.0.1:8081"
            unheard_of = 7
            [services]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [cluster]
            count = 1
            [[cluster.teams]]
            name = "t"
            cpus = 1.0
            cpus_max = 2.0
            gpus = 0.0
            gpus_max = 0.0
            [cluster.workers]
            report_s = 3.0
            lease_s = 18.0
            gang_wait_s = 30.0
            gang_peer_s = 5.0
            cancel_s = 48.0
            [cluster.state]
            rps = 100.0
            write_rps = 40.0
            value_kb = 8.0
            txn_ops = 12
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 6.0
            [cluster.quota]
            cpu_share = 0.34
            ram_mb = 320.0
            sockets = 2500
            """;
}
