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
 * Reads and validates the platform's TOML file. A file is rejected only if a field is missing or invalid without which
 * a node can't serve or can't comply with the protocol: its name and addresses, its peers, the services, the workers'
 * lease, the cancellation bound and the teams' limits. Any other field that is missing or invalid is reported and
 * replaced by a default that is at least as conservative as any usual setting. Unknown fields are reported and ignored.
 */
public final class SettingsFile {
    private static final Set<String> ROOT_FIELDS =
            Set.of("node_name", "domain", "serve_on", "internal_addr", "seeds", "services", "cluster");
    private static final Set<String> CLUSTER_FIELDS =
            Set.of("count", "zones", "time_bound_ms", "teams", "objectives", "workers", "state", "cloud", "quota");
    /** Name of the table with the announced limits. */
    private static final String ANNOUNCED_LIMITS = "next";

    private static final double BYTES_PER_KB = 1024;
    private static final Settings.StoreLimits DEFAULT_STORE_LIMITS = new Settings.StoreLimits(
            SettingsDefaults.STORE_RPS,
            SettingsDefaults.STORE_WRITE_RPS,
            SettingsDefaults.VALUE_BYTES,
            SettingsDefaults.TRANSACTION_WRITES,
            null);
    private static final Set<String> OBJECTIVE_FIELDS = Set.of("kind", "class", "within_s", "share", "times");

    private final SettingsFindings findings = new SettingsFindings();
    private final SettingsTable root;

    /**
     * The settings that a node uses, and the problems found in the file.
     *
     * @param replacements  fields that were missing or invalid and are replaced by defaults
     * @param unknownFields names of fields that this version does not know
     */
    public record Loaded(Settings settings, List<Replacement> replacements, List<String> unknownFields) {}

    /**
     * A field that was missing or invalid and is replaced by a default.
     *
     * @param field name of the field, qualified by its tables
     * @param found value in the file, truncated
     * @param used  the default; null if the field then counts as missing
     */
    public record Replacement(String field, String found, Object used) {
        /** Returns the line that {@code --check} prints. */
        @Override
        public String toString() {
            return "settings field " + field + " is " + found + ", " + used + " is used";
        }
    }

    private SettingsFile(JsonNode file) {
        root = SettingsTable.root(file, findings);
    }

    /** Reads a settings file; the message of the exception names all rejected fields on one line. */
    public static Loaded load(Path file) throws SettingsException {
        try {
            return loadText(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException("settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    /** Parses the content of a settings file, see {@link #load(Path)}. */
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

    /** Parses the content of a settings file and returns only the settings that a node uses. */
    public static Settings parse(String toml) throws SettingsException {
        return loadText(toml).settings();
    }

    private Loaded load() throws SettingsException {
        root.reportUnknownFields(ROOT_FIELDS);
        SettingsTable cluster = root.table("cluster").reportUnknownFields(CLUSTER_FIELDS);
        SettingsTable services = root.table("services").reportUnknownFields(Set.of("cloud", "state"));
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
                storeLimits(cluster.table("state")),
                cloud(cluster.table("cloud")),
                quota(cluster.table("quota")),
                OperatorSettings.DEFAULTS);
        findings.throwIfErrors();
        if (settings.leadershipMs() < Constants.Election.LEADERSHIP_MIN_MS) {
            throw new SettingsException("cluster.workers.cancel_s is too short for lease_s: "
                    + "no time is left between them for leadership");
        }
        return new Loaded(settings, findings.replacements(), findings.unknownFields());
    }

    private List<Settings.Peer> peers() {
        List<Settings.Peer> peers = new ArrayList<>();
        for (SettingsTable seed : root.tables("seeds")) {
            seed.reportUnknownFields(Set.of("node_name", "domain", "endpoint"));
            peers.add(new Settings.Peer(seed.requiredText("node_name"), seed.requiredAddress("endpoint")));
        }
        return List.copyOf(peers);
    }

    private static Map<String, Settings.Team> teams(SettingsTable cluster) {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        for (SettingsTable table : cluster.tables("teams")) {
            table.reportUnknownFields(Set.of("name", "cpus", "cpus_max", "gpus", "gpus_max"));
            Settings.Team team = new Settings.Team(
                    table.requiredText("name"),
                    table.number("cpus", 0),
                    limit(table, "cpus_max"),
                    table.number("gpus", 0),
                    limit(table, "gpus_max"));
            teams.put(team.name(), team);
        }
        return teams;
    }

    /**
     * Reads a team's limit. A limit of 0 means no limit: the team may use all resources that other teams leave free.
     */
    private static double limit(SettingsTable table, String name) {
        double limit = table.requiredNumber(name);
        return limit == 0 ? Settings.Team.UNLIMITED : limit;
    }

    private static List<Settings.Objective> objectives(SettingsTable cluster) {
        List<Settings.Objective> objectives = new ArrayList<>();
        for (SettingsTable table : cluster.tables("objectives")) {
            table.reportUnknownFields(OBJECTIVE_FIELDS);
            objectives.add(new Settings.Objective(
                    table.text("kind", ""),
                    table.optionalText("class"),
                    table.optionalNumber("within_s"),
                    table.optionalNumber("share")));
        }
        return List.copyOf(objectives);
    }

    private static Settings.Workers workers(SettingsTable table) {
        table.reportUnknownFields(Set.of("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"));
        long leaseMs = table.requiredMillis("lease_s");
        return new Settings.Workers(
                table.millis("report_s", Math.max(1, leaseMs / SettingsDefaults.HEARTBEATS_PER_LEASE)),
                leaseMs,
                table.millis("gang_wait_s", SettingsDefaults.GANG_WAIT_MS),
                table.millis("gang_peer_s", SettingsDefaults.GANG_PEER_MS),
                table.requiredMillis("cancel_s"));
    }

    private static Settings.StoreLimits storeLimits(SettingsTable table) {
        table.reportUnknownFields(Set.of("rps", "write_rps", "value_kb", "txn_ops", "next"));
        Settings.StoreLimits current = new Settings.StoreLimits(
                table.positiveNumber("rps", DEFAULT_STORE_LIMITS.requestsPerS()),
                table.positiveNumber("write_rps", DEFAULT_STORE_LIMITS.writesPerS()),
                valueBytes(table, DEFAULT_STORE_LIMITS),
                table.count("txn_ops", DEFAULT_STORE_LIMITS.txnOps()),
                null);
        return new Settings.StoreLimits(
                current.requestsPerS(),
                current.writesPerS(),
                current.valueBytes(),
                current.txnOps(),
                announcedLimits(table, current));
    }

    /**
     * Returns the announced limits, or null if there are none. A missing limit keeps its current value; an invalid one
     * is replaced by the lower of its current value and its default.
     */
    private static Settings.StoreLimits announcedLimits(SettingsTable state, Settings.StoreLimits current) {
        if (!state.has(ANNOUNCED_LIMITS)) {
            return null;
        }
        SettingsTable limits =
                state.table(ANNOUNCED_LIMITS).reportUnknownFields(Set.of("rps", "write_rps", "value_kb", "txn_ops"));
        Settings.StoreLimits lowest = current.lowest(DEFAULT_STORE_LIMITS);
        Settings.StoreLimits missingFieldLimits = state.hasTable(ANNOUNCED_LIMITS) ? current : lowest;
        return new Settings.StoreLimits(
                limits.has("rps")
                        ? limits.positiveNumber("rps", lowest.requestsPerS())
                        : missingFieldLimits.requestsPerS(),
                limits.has("write_rps")
                        ? limits.positiveNumber("write_rps", lowest.writesPerS())
                        : missingFieldLimits.writesPerS(),
                limits.has("value_kb") ? valueBytes(limits, lowest) : missingFieldLimits.valueBytes(),
                limits.has("txn_ops") ? limits.count("txn_ops", lowest.txnOps()) : missingFieldLimits.txnOps(),
                null);
    }

    private static int valueBytes(SettingsTable table, Settings.StoreLimits defaults) {
        return (int) (table.positiveNumber("value_kb", defaults.valueBytes() / BYTES_PER_KB) * BYTES_PER_KB);
    }

    private static Settings.Cloud cloud(SettingsTable table) {
        table.reportUnknownFields(Set.of("rps", "list_lag_s"));
        return new Settings.Cloud(
                table.positiveNumber("rps", SettingsDefaults.CLOUD_RPS),
                table.millis("list_lag_s", SettingsDefaults.CLOUD_LIST_LAG_MS));
    }

    private static Settings.Quota quota(SettingsTable table) {
        table.reportUnknownFields(Set.of("cpu_share", "ram_mb", "sockets"));
        return new Settings.Quota(
                table.number("cpu_share", SettingsDefaults.CPU_SHARE),
                table.number("ram_mb", Constants.Process.FULL_HEAP_PROCESS_MB),
                table.count("sockets", Constants.Process.SOCKETS_NEEDED));
    }
}
