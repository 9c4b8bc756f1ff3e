package org.spoolline.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.codec.TreeCodec;

/**
 * Reads and checks the platform's TOML file. Only what a node can't serve or keep a rule without is refused: its name and
 * addresses, its peers, the services, the workers' lease, the cancellation bound and the teams' limits. Of any other field
 * a missing or odd value is replaced by a default that allows no more than the settings may have, and told; unknown
 * fields are ignored.
 */
public final class SettingsFile {
    private static final Set<String> ROOT_FIELDS =
            Set.of("node_name", "domain", "serve_on", "internal_addr", "seeds", "services", "cluster");
    private static final Set<String> CLUSTER_FIELDS =
            Set.of("count", "zones", "time_bound_ms", "teams", "objectives", "workers", "state", "cloud", "quota");
    private static final String NEXT = "next";
    private static final double BYTES_PER_KB = 1024;
    private static final Settings.StoreLimits LEAST_LIMITS = new Settings.StoreLimits(
            Constants.Defaults.DEFAULT_STORE_RPS,
            Constants.Defaults.DEFAULT_STORE_WRITE_RPS,
            Constants.Defaults.DEFAULT_VALUE_BYTES,
            Constants.Defaults.DEFAULT_TRANSACTION_WRITES,
            null);
    private static final Set<String> OBJECTIVE_FIELDS = Set.of("kind", "class", "within_s", "share", "times");

    private final SettingsFindings findings = new SettingsFindings();
    private final SettingsTable root;

    /**
     * Settings as they are used, and what was found on the way.
     *
     * @param replacements  a line for each field whose value could not be used, with the default taken instead
     * @param unknownFields fields that this version does not know
     */
    public record Loaded(Settings settings, List<String> replacements, List<String> unknownFields) {}

    private SettingsFile(JsonNode file) {
        root = SettingsTable.root(file, findings);
    }

    /** Reads a file; the exception's message names all fields that are refused, on one line. */
    public static Loaded load(Path file) throws SettingsException {
        try {
            return loadText(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException("settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    /** The same for a file's content. */
    public static Loaded loadText(String toml) throws SettingsException {
        JsonNode file;
        try {
            file = new TreeCodec(new TomlFactory()).read(toml);
        } catch (JsonProcessingException e) {
            throw new SettingsException("settings are not valid TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException("settings are not valid TOML: " + e.getMessage());
        }
        return new SettingsFile(file).load();
    }

    /** The settings alone. */
    public static Settings parse(String toml) throws SettingsException {
        return loadText(toml).settings();
    }

    private Loaded load() throws SettingsException {
        root.knows(ROOT_FIELDS);
        SettingsTable cluster = root.table("cluster").knows(CLUSTER_FIELDS);
        SettingsTable services = root.table("services").knows(Set.of("cloud", "state"));
        List<Settings.Peer> peers = peers();
        Settings settings = new Settings(
                root.requiredText("node_name"),
                root.text("domain", ""),
                root.requiredAddress("serve_on"),
                root.requiredAddress("internal_addr"),
                peers,
                services.requiredAddress("cloud"),
                services.requiredAddress("state"),
                cluster.count("count", peers.size() + 1),
                teams(cluster),
                objectives(cluster),
                workers(cluster.table("workers")),
                state(cluster.table("state")),
                cloud(cluster.table("cloud")),
                quota(cluster.table("quota")),
                OperatorSettings.DEFAULTS);
        findings.throwIfRefused();
        if (settings.leadershipMs() < Constants.Election.LEADERSHIP_MIN_MS) {
            throw new SettingsException("cluster.workers.cancel_s is too short for lease_s: "
                    + "no time is left between them for leadership");
        }
        return new Loaded(settings, findings.replacements(), findings.unknownFields());
    }

    private List<Settings.Peer> peers() {
        List<Settings.Peer> peers = new ArrayList<>();
        for (SettingsTable seed : root.tables("seeds")) {
            seed.knows(Set.of("node_name", "domain", "endpoint"));
            peers.add(new Settings.Peer(seed.requiredText("node_name"), seed.requiredAddress("endpoint")));
        }
        return List.copyOf(peers);
    }

    private static Map<String, Settings.Team> teams(SettingsTable cluster) {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        for (SettingsTable table : cluster.tables("teams")) {
            table.knows(Set.of("name", "cpus", "cpus_max", "gpus", "gpus_max"));
            Settings.Team team = new Settings.Team(
                    table.requiredText("name"),
                    table.number("cpus", 0),
                    table.requiredNumber("cpus_max"),
                    table.number("gpus", 0),
                    table.requiredNumber("gpus_max"));
            teams.put(team.name(), team);
        }
        return teams;
    }

    private static List<Settings.Objective> objectives(SettingsTable cluster) {
        List<Settings.Objective> objectives = new ArrayList<>();
        for (SettingsTable table : cluster.tables("objectives")) {
            table.knows(OBJECTIVE_FIELDS);
            objectives.add(new Settings.Objective(
                    table.text("kind", ""),
                    table.optionalText("class"),
                    table.optionalNumber("within_s"),
                    table.optionalNumber("share")));
        }
        return List.copyOf(objectives);
    }

    private static Settings.Workers workers(SettingsTable table) {
        table.knows(Set.of("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"));
        long leaseMs = table.requiredMillis("lease_s");
        return new Settings.Workers(
                table.millis("report_s", Math.max(1, leaseMs / Constants.Defaults.DEFAULT_HEARTBEATS_PER_LEASE)),
                leaseMs,
                table.millis("gang_wait_s", Constants.Defaults.DEFAULT_GANG_WAIT_MS),
                table.millis("gang_peer_s", Constants.Defaults.DEFAULT_GANG_PEER_MS),
                table.requiredMillis("cancel_s"));
    }

    private static Settings.StoreLimits state(SettingsTable table) {
        table.knows(Set.of("rps", "write_rps", "value_kb", "txn_ops", "next"));
        Settings.StoreLimits now = new Settings.StoreLimits(
                table.positive("rps", LEAST_LIMITS.requestsPerS()),
                table.positive("write_rps", LEAST_LIMITS.writesPerS()),
                bytes(table, LEAST_LIMITS),
                table.count("txn_ops", LEAST_LIMITS.txnOps()),
                null);
        return new Settings.StoreLimits(
                now.requestsPerS(), now.writesPerS(), now.valueBytes(), now.txnOps(), announced(table, now));
    }

    /** The limits announced for later: what is missing of them stays as it is, for what is odd the least holds. */
    private static Settings.StoreLimits announced(SettingsTable state, Settings.StoreLimits now) {
        if (!state.has(NEXT)) {
            return null;
        }
        SettingsTable next = state.table(NEXT).knows(Set.of("rps", "write_rps", "value_kb", "txn_ops"));
        Settings.StoreLimits least = new Settings.StoreLimits(
                        now.requestsPerS(), now.writesPerS(), now.valueBytes(), now.txnOps(), LEAST_LIMITS)
                .lowestAnnounced();
        Settings.StoreLimits ifMissing = state.hasTable(NEXT) ? now : least;
        return new Settings.StoreLimits(
                next.has("rps") ? next.positive("rps", least.requestsPerS()) : ifMissing.requestsPerS(),
                next.has("write_rps") ? next.positive("write_rps", least.writesPerS()) : ifMissing.writesPerS(),
                next.has("value_kb") ? bytes(next, least) : ifMissing.valueBytes(),
                next.has("txn_ops") ? next.count("txn_ops", least.txnOps()) : ifMissing.txnOps(),
                null);
    }

    private static int bytes(SettingsTable table, Settings.StoreLimits ifOdd) {
        return (int) (table.positive("value_kb", ifOdd.valueBytes() / BYTES_PER_KB) * BYTES_PER_KB);
    }

    private static Settings.Cloud cloud(SettingsTable table) {
        table.knows(Set.of("rps", "list_lag_s"));
        return new Settings.Cloud(
                table.positive("rps", Constants.Defaults.DEFAULT_CLOUD_RPS),
                table.millis("list_lag_s", Constants.Defaults.DEFAULT_CLOUD_LIST_LAG_MS));
    }

    private static Settings.Quota quota(SettingsTable table) {
        table.knows(Set.of("cpu_share", "ram_mb", "sockets"));
        return new Settings.Quota(
                table.number("cpu_share", Constants.Defaults.DEFAULT_CPU_SHARE),
                table.number("ram_mb", Constants.Process.FULL_HEAP_PROCESS_MB),
                table.count("sockets", Constants.Process.SOCKETS_NEEDED));
    }
}
