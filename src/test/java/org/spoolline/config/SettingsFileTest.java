package org.spoolline.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Reading and validating the platform's settings file and the operator settings. */
class SettingsFileTest {
    private static final String VALID_SETTINGS = SampleSettings.NODE;

    private static List<String> replacements(String toml) throws SettingsException {
        return SettingsFile.loadText(toml).replacements().stream()
                .map(SettingsFile.Replacement::toString)
                .toList();
    }

    private static String rejection(String toml) {
        return assertThrows(SettingsException.class, () -> SettingsFile.parse(toml))
                .getMessage();
    }

    /** Fixed limits would not grow with the number of machines, so they follow from the quota and the interval. */
    @Test
    void derivesLimitsAndTimesFromSettings() throws Exception {
        Settings small = SettingsFile.parse(VALID_SETTINGS.replace("sockets = 2500", "sockets = 100"));
        Settings large = SettingsFile.parse(VALID_SETTINGS.replace("report_s = 3.0", "report_s = 4.0"));
        assertEquals(80, small.maxInboundConnections());
        assertEquals(2000, large.maxInboundConnections());
        assertEquals(8192, small.maxHeadBytes());
        assertEquals(8192, large.maxHeadBytes());
        assertEquals(4096, small.backlog());
        assertEquals(4096, large.backlog());
        Settings huge = SettingsFile.parse(VALID_SETTINGS.replace("sockets = 2500", "sockets = 9000"));
        assertEquals(9000, huge.backlog());
        assertEquals(2330, huge.maxHeadBytes());
        assertTrue(small.maxEarlyHeartbeatRequests() + small.idleConnections() < 100 / 2);
        assertTrue(large.maxEarlyHeartbeatRequests() + large.idleConnections() < 2500 / 5);
        assertTrue(large.heartbeatOverdueMs() > 4_000 * 2.5
                && large.heartbeatOverdueMs() < large.workers().leaseMs());
        assertTrue(
                large.heartbeatsMissingMs() > 4_000 * 2 && small.heartbeatsMissingMs() < large.heartbeatsMissingMs());
    }

    @Test
    void reportsInsufficientLimitsWithoutRejecting() throws Exception {
        assertEquals(0, SettingsFile.parse(VALID_SETTINGS).insufficientLimits().size());
        String insufficientLimits = SettingsFile.parse(VALID_SETTINGS
                        .replace("sockets = 2500", "sockets = 20")
                        .replace("ram_mb = 320.0", "ram_mb = 64.0"))
                .insufficientLimits()
                .toString();
        assertTrue(
                insufficientLimits.contains("sockets is 20") && insufficientLimits.contains("ram_mb is 64"),
                insufficientLimits);
    }

    @Test
    void ignoresUnknownFields() throws Exception {
        Settings settings = SettingsFile.parse(VALID_SETTINGS);
        assertEquals("n0", settings.node());
        assertEquals(2.0, settings.teams().get("t").maxCores());
    }

    /**
     * Only a field without which a node can't serve or can't comply with the protocol may prevent its start. Rejecting
     * any other field would take down a whole deployment without need, so each of them may be missing or invalid.
     */
    @Test
    void acceptsMissingAndInvalidOptionalFields() throws Exception {
        for (String field : List.of(
                "domain = \"a\"",
                "count = 1",
                "report_s = 3.0",
                "gang_wait_s = 30.0",
                "gang_peer_s = 5.0",
                "rps = 100.0",
                "write_rps = 40.0",
                "value_kb = 8.0",
                "txn_ops = 12",
                "rps = 10.0",
                "list_lag_s = 6.0",
                "cpu_share = 0.34",
                "ram_mb = 320.0",
                "sockets = 2500",
                "cpus = 1.0",
                "gpus = 0.0")) {
            assertTrue(VALID_SETTINGS.contains("\n" + field + "\n"), field);
            String name = field.substring(0, field.indexOf(' '));
            for (String invalid : List.of("", name + " = \"odd\"", name + " = -1", name + " = nan", name + " = [1]")) {
                Settings settings =
                        SettingsFile.parse(VALID_SETTINGS.replace("\n" + field + "\n", "\n" + invalid + "\n"));
                assertEquals("n0", settings.node(), invalid);
            }
        }
        for (String table : List.of("cloud", "quota", "state")) {
            assertEquals(
                    "n0",
                    SettingsFile.parse(VALID_SETTINGS.replace("[cluster." + table + "]", "[cluster.other]"))
                            .node());
        }
        for (String invalid :
                List.of("next = 3", "[cluster.state.next]\nvalue_kb = 0", "[cluster.state.next]\nrps = \"x\"")) {
            assertEquals(
                    "n0",
                    SettingsFile.parse(VALID_SETTINGS.replace("txn_ops = 12", "txn_ops = 12\n" + invalid))
                            .node());
        }
        assertEquals(
                "n0",
                SettingsFile.parse(VALID_SETTINGS + "[[cluster.objectives]]\nkind = 1\nwithin_s = -1\n")
                        .node());
    }

    /**
     * A guest team has no guarantee and a limit of 0. If 0 is read as no capacity, each of its jobs is rejected with
     * 422.
     */
    @Test
    void treatsTeamLimitOfZeroAsUnlimited() throws Exception {
        Settings.Team team = SettingsFile.parse(VALID_SETTINGS.replace("cpus_max = 2.0", "cpus_max = 0.0"))
                .teams()
                .values()
                .iterator()
                .next();
        assertEquals(Settings.Team.UNLIMITED, team.maxCores());
        assertEquals(Settings.Team.UNLIMITED, team.maxAccelerators());
    }

    @Test
    void rejectionNamesField() {
        assertTrue(rejection(VALID_SETTINGS.replace("lease_s = 18.0\n", "")).contains("cluster.workers.lease_s"));
        assertTrue(rejection(VALID_SETTINGS.replace("lease_s = 18.0\n", "lease_s = 0\n"))
                .contains("cluster.workers.lease_s"));
        assertTrue(rejection(VALID_SETTINGS.replace("cancel_s = 48.0\n", "cancel_s = nan\n"))
                .contains("cluster.workers.cancel_s"));
        assertTrue(rejection(VALID_SETTINGS.replace("cpus_max = 2.0\n", "cpus_max = -1\n"))
                .contains("cluster.teams.cpus_max"));
        assertTrue(rejection(VALID_SETTINGS.replace("gpus_max = 0.0\n", "")).contains("cluster.teams.gpus_max"));
        assertTrue(rejection(VALID_SETTINGS.replace("state = \"10.2.0.1:2379\"", ""))
                .contains("services.state"));
        assertTrue(rejection(VALID_SETTINGS.replace("[services]", "[[seeds]]\nnode_name = \"n1\"\n[services]"))
                .contains("seeds.endpoint"));
        assertTrue(rejection(VALID_SETTINGS.replace("\"10.0.0.1:8080\"", "\"nowhere\""))
                .contains("serve_on"));
        assertTrue(rejection("node_name = ").contains("TOML"));
        assertTrue(assertThrows(SettingsException.class, () -> SettingsFile.load(Path.of("no-such-file")))
                .getMessage()
                .contains("no-such-file"));
    }

    /** An objective on users' deadlines has no time limit; a node that requires one does not start. */
    @Test
    void readsObjectiveWithoutTime() throws Exception {
        Settings settings = SettingsFile.parse(
                VALID_SETTINGS
                        + """
                        [[cluster.objectives]]
                        kind = "deadline"
                        class = "alerts"
                        share = 0.94
                        times = 1.5
                        """);
        assertEquals(0.94, settings.objectives().get(0).share());
        assertNull(settings.objectives().get(0).withinS());
        assertEquals(
                List.of("settings field cluster.objectives.within_s is -1, null is used"),
                replacements(VALID_SETTINGS + "[[cluster.objectives]]\nkind = \"wait\"\nwithin_s = -1\n"));
    }

    @Test
    void readsPartialAnnouncedLimits() throws Exception {
        assertEquals(
                SettingsFile.parse(VALID_SETTINGS).storeLimits(),
                SettingsFile.parse(VALID_SETTINGS).storeLimits().lowestOfCurrentAndAnnounced());
        Settings.StoreLimits announced = SettingsFile.parse(
                        VALID_SETTINGS + "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nlater = 1\n")
                .storeLimits();
        assertEquals(8 * 1024, announced.valueBytes());
        assertEquals(new Settings.StoreLimits(100, 40, 2 * 1024, 4, null), announced.lowestOfCurrentAndAnnounced());
    }

    /** An invalid announced limit must not allow more than the current limit or the default. */
    @Test
    void replacesInvalidAnnouncedLimitsByLowest() throws Exception {
        String invalidValue = VALID_SETTINGS + "[cluster.state.next]\nvalue_kb = 0\n";
        assertEquals(
                List.of("settings field cluster.state.next.value_kb is 0, 2.0 is used"), replacements(invalidValue));
        assertEquals(
                new Settings.StoreLimits(100, 40, SettingsDefaults.VALUE_BYTES, 12, null),
                SettingsFile.parse(invalidValue).storeLimits().lowestOfCurrentAndAnnounced());
        String invalidRate = VALID_SETTINGS + "[cluster.state.next]\nrps = \"x\"\n";
        assertEquals(
                List.of("settings field cluster.state.next.rps is \"x\", 20.0 is used"), replacements(invalidRate));
        assertEquals(
                SettingsDefaults.STORE_RPS,
                SettingsFile.parse(invalidRate)
                        .storeLimits()
                        .lowestOfCurrentAndAnnounced()
                        .requestsPerS());
        String notATable = VALID_SETTINGS.replace("txn_ops = 12", "txn_ops = 12\nnext = 3");
        assertEquals(
                List.of("settings field cluster.state.next is 3, an empty table is used"), replacements(notATable));
        assertEquals(
                new Settings.StoreLimits(
                        SettingsDefaults.STORE_RPS,
                        SettingsDefaults.STORE_WRITE_RPS,
                        SettingsDefaults.VALUE_BYTES,
                        SettingsDefaults.TRANSACTION_WRITES,
                        null),
                SettingsFile.parse(notATable).storeLimits().lowestOfCurrentAndAnnounced());
    }

    /** Each replaced field is reported with its value, and all rejected fields are reported together on one line. */
    @Test
    void reportsAllFindings() throws Exception {
        assertEquals(List.of(), replacements(VALID_SETTINGS));
        assertEquals(
                List.of("unheard_of"), SettingsFile.loadText(VALID_SETTINGS).unknownFields());
        assertEquals(
                List.of(
                        "settings field cluster.state.rps is -1, 20.0 is used",
                        "settings field cluster.quota.sockets is missing, 100 is used"),
                replacements(VALID_SETTINGS
                        .replace("\nrps = 100.0\n", "\nrps = -1\n")
                        .replace("sockets = 2500\n", "")));
        String twoErrors = rejection(
                VALID_SETTINGS.replace("node_name = \"n0\"", "").replace("lease_s = 18.0", "lease_s = \"x\""));
        assertTrue(twoErrors.contains("node_name, which is missing"), twoErrors);
        assertTrue(twoErrors.contains("cluster.workers.lease_s, which is \"x\""), twoErrors);
        assertEquals(1, twoErrors.lines().count());
    }

    /** A default above the real limit of a service would cause rejected requests or lost machines. */
    @Test
    void defaultsAreConservative() throws Exception {
        Settings settings = SettingsFile.parse(VALID_SETTINGS
                .replace("[cluster.state]", "[cluster.other]")
                .replace("[cluster.cloud]", "[cluster.other2]")
                .replace("[cluster.quota]", "[cluster.other3]")
                .replace("report_s = 3.0\n", ""));
        assertTrue(settings.storeLimits().requestsPerS() <= 20
                && settings.storeLimits().writesPerS() <= 8);
        assertTrue(settings.storeLimits().valueBytes() <= 2 * 1024
                && settings.storeLimits().txnOps() <= 2);
        assertTrue(settings.cloud().requestsPerS() <= 1 && settings.cloud().listLagMs() >= 30_000);
        assertEquals(100, settings.quota().sockets());
        assertTrue(settings.heartbeatOverdueMs() < settings.workers().leaseMs());
    }

    /**
     * A leader that is cut off from the key-value store does not see a cancellation. Its leadership lease, its
     * keep-alive time and the workers' lease must together be shorter than the cancellation bound.
     */
    @Test
    void leasesExpireBeforeCancellationBound() throws Exception {
        for (double lease : new double[] {4, 10, 18, 30, 40}) {
            for (double share : new double[] {0, 0.04, 0.09, 0.34}) {
                Settings settings = SettingsFile.parse(VALID_SETTINGS
                        .replace("lease_s = 18.0", "lease_s = " + lease)
                        .replace("cpu_share = 0.34", "cpu_share = " + share));
                assertTrue(
                        settings.leadershipMs() + settings.keepAliveMs() + settings.leaseExpiryMs()
                                < settings.workers().cancelMs(),
                        "lease " + lease + ", share " + share);
            }
        }
        assertTrue(rejection(VALID_SETTINGS.replace("lease_s = 18.0", "lease_s = 47.0"))
                .contains("cancel_s"));
    }

    /** A process with a small CPU share renews its lease late and would repeatedly lose a leadership lease of 5 s. */
    @Test
    void extendsLeadershipLeaseOnSmallCpuShare() throws Exception {
        assertEquals(5_000, SettingsFile.parse(VALID_SETTINGS).leadershipMs());
        assertEquals(
                10_000,
                SettingsFile.parse(VALID_SETTINGS.replace("cpu_share = 0.34", "cpu_share = 0.041"))
                        .leadershipMs());
    }

    @Test
    void validatesOperatorSettings() throws Exception {
        OperatorSettings settings = OperatorSettings.parse("<operator><idle-ms>9000</idle-ms></operator>");
        assertEquals(9_000, settings.idleMs());
        assertEquals(OperatorSettings.DEFAULTS.cycleMaxMs(), settings.cycleMaxMs());
        for (String[] invalid : new String[][] {
            {"<operator><idle-ms>soon</idle-ms></operator>", "idle-ms"},
            {"<operator><lease>1</lease></operator>", "lease"},
            {"<operator><idle-ms>", "XML"},
            {"<operator><round-min-ms>900</round-min-ms></operator>", "round-min-ms"}
        }) {
            assertTrue(
                    assertThrows(SettingsException.class, () -> OperatorSettings.parse(invalid[0]))
                            .getMessage()
                            .contains(invalid[1]),
                    invalid[1]);
        }
    }
}
