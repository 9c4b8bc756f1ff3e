package org.spoolline.simulation;

import java.util.Collection;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsException;
import org.spoolline.config.SettingsFile;

/**
 * Creates the settings file of each controller. It has two teams, a team "guest" without a guarantee and without a
 * limit, and limits of the key-value store that a scenario can change or announce.
 */
final class SimulatedSettings {
    private final int teamScale;
    private final int storeRequestsPerS;
    /** Announced future limits of the key-value store as TOML, or empty for none. */
    private String announcedLimits = "";

    private int writesPerS = 60;

    /** Creates settings whose teams have {@code teamScale} times the default guarantees and quotas. */
    SimulatedSettings(int teamScale, int storeRequestsPerS) {
        this.teamScale = teamScale;
        this.storeRequestsPerS = storeRequestsPerS;
    }

    void announceLimits(int valueBytes, int txnOps, int writesPerS) {
        announcedLimits = "[cluster.state.next]\nvalue_kb = " + valueBytes / 1024.0 + "\ntxn_ops = " + txnOps
                + "\nwrite_rps = " + writesPerS + ".0\n";
    }

    /** Sets the rate limit of writes to the key-value store in settings created from now on. */
    void limitWrites(int limitPerS) {
        writesPerS = limitPerS;
    }

    /** The settings that the controller would start with now; {@code all} are the controllers of the cluster. */
    Settings forController(ControllerProcess process, Collection<ControllerProcess> all) {
        StringBuilder toml = new StringBuilder();
        toml.append("node_name = \"")
                .append(process.name())
                .append("\"\ndomain = \"a\"\nserve_on = \"")
                .append(process.address())
                .append("\"\ninternal_addr = \"")
                .append(process.internalAddress())
                .append("\"\n");
        for (ControllerProcess other : all) {
            if (other != process) {
                toml.append("[[seeds]]\nnode_name = \"")
                        .append(other.name())
                        .append("\"\ndomain = \"a\"\nendpoint = \"")
                        .append(other.internalAddress())
                        .append("\"\n");
            }
        }
        toml.append(clusterToml());
        try {
            return SettingsFile.parse(toml.toString());
        } catch (SettingsException e) {
            throw new AssertionError(e);
        }
    }

    private String clusterToml() {
        return """
                [services]
                cloud = "cloud:1"
                state = "state:1"
                [cluster]
                count = 3
                [[cluster.teams]]
                name = "blue"
                cpus = %1$d.0
                cpus_max = %2$d.0
                gpus = 0.0
                gpus_max = 0.0
                [[cluster.teams]]
                name = "red"
                cpus = %3$d.0
                cpus_max = %1$d.0
                gpus = 0.0
                gpus_max = 0.0
                [[cluster.teams]]
                name = "guest"
                cpus = 0.0
                cpus_max = 0.0
                gpus = 0.0
                gpus_max = 0.0
                [cluster.workers]
                report_s = 3.0
                lease_s = 16.0
                gang_wait_s = 30.0
                gang_peer_s = 5.0
                cancel_s = 46.0
                [cluster.state]
                rps = %4$d.0
                write_rps = %6$d.0
                value_kb = 8.0
                txn_ops = 12
                %5$s
                [cluster.cloud]
                rps = 10.0
                list_lag_s = 6.0
                [cluster.quota]
                cpu_share = 0.2
                ram_mb = 200.0
                sockets = 1000
                """
                .formatted(
                        32 * teamScale, 64 * teamScale, 16 * teamScale, storeRequestsPerS, announcedLimits, writesPerS);
    }
}
