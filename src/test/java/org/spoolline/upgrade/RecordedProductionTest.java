package org.spoolline.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.InvocationTargetException;
import java.net.URLClassLoader;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The version that a rolling upgrade begins with, run from the repository's history. */
class RecordedProductionTest {
    /** Settings as the deployments with dependent jobs have them, with objectives on users' deadlines and new limits. */
    private static final String UPGRADE_SETTINGS =
            """
            node_name = "n0"
            domain = "a"
            serve_on = "10.0.0.1:8080"
            internal_addr = "10.0.0.1:8081"
            [services]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [cluster]
            count = 1
            [[cluster.teams]]
            name = "t"
            cpus = 8000.0
            cpus_max = 35000.0
            gpus = 0.0
            gpus_max = 0.0
            [[cluster.objectives]]
            kind = "wait"
            class = "c"
            within_s = 50.0
            share = 0.95
            [[cluster.objectives]]
            kind = "deadline"
            class = "c"
            share = 0.94
            times = 1.5
            [[cluster.objectives]]
            kind = "guarantee"
            within_s = 5.0
            share = 0.95
            [cluster.workers]
            report_s = 4.0
            lease_s = 18.0
            gang_wait_s = 30.0
            gang_peer_s = 5.0
            cancel_s = 48.0
            [cluster.state]
            rps = 100.0
            write_rps = 40.0
            value_kb = 8.0
            txn_ops = 12
            [cluster.state.next]
            write_rps = 28.0
            value_kb = 2.0
            txn_ops = 4
            [cluster.cloud]
            rps = 10.0
            list_lag_s = 6.0
            [cluster.quota]
            cpu_share = 0.34
            ram_mb = 320.0
            sockets = 2500
            """;

    /**
     * The settings of both versions are those of the upgrade. Production refused them, so none of its processes served
     * and no task was started.
     */
    @Test
    void productionReadsTheSettingsOfTheUpgrade(@TempDir Path directory) throws Exception {
        try (URLClassLoader production =
                RecordedProduction.load(directory, "org.spoolline.codec", "org.spoolline.settings")) {
            Class<?> settingsFile = production.loadClass("org.spoolline.settings.SettingsFile");
            Object settings = parse(settingsFile, UPGRADE_SETTINGS);
            assertEquals("n0", settings.getClass().getMethod("node").invoke(settings));
        }
    }

    private static Object parse(Class<?> settingsFile, String toml) throws Exception {
        try {
            return settingsFile.getMethod("parse", String.class).invoke(null, toml);
        } catch (InvocationTargetException e) {
            throw new AssertionError("production refuses the settings: " + e.getCause(), e.getCause());
        }
    }
}
