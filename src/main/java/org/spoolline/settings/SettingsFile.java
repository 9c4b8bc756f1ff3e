package org.spoolline.settings;

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
import org.spoolline.codec.TreeCodec;

/** Reads and checks the platform's TOML file; unknown fields are ignored. */
public final class SettingsFile {
    private final JsonNode root;

    private SettingsFile(JsonNode root) {
        this.root = root;
    }

    public static Settings read(Path file) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new SettingsException("settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("settings file " + file + " can't be read: " + e.getMessage());
        }
        return parse(text);
    }

    public static Settings parse(String toml) throws SettingsException {
        JsonNode root;
        try {
            root = new TreeCodec(new TomlFactory()).read(toml);
        } catch (JsonProcessingException e) {
            throw new SettingsException("settings are not valid TOML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new SettingsException("settings are not valid TOML: " + e.getMessage());
        }
        return new SettingsFile(root).settings();
    }

    private Settings settings() throws SettingsException {
        List<Settings.Peer> peers = new ArrayList<>();
        for (JsonNode seed : root.path("seeds")) {
            peers.add(new Settings.Peer(text(seed, "seeds.", "node_name"), address(seed, "seeds.", "endpoint")));
        }
        JsonNode cluster = object(root, "", "cluster");
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        for (JsonNode t : cluster.path("teams")) {
            Settings.Team team = new Settings.Team(
                    text(t, "cluster.teams.", "name"),
                    number(t, "cluster.teams.", "cpus"),
                    number(t, "cluster.teams.", "cpus_max"),
                    number(t, "cluster.teams.", "gpus"),
                    number(t, "cluster.teams.", "gpus_max"));
            teams.put(team.name(), team);
        }
        List<Settings.Objective> objectives = new ArrayList<>();
        for (JsonNode o : cluster.path("objectives")) {
            // No node needs an objective to serve: kinds differ in their fields, and those that are missing read as 0.
            objectives.add(new Settings.Objective(
                    o.path("kind").asText(),
                    o.path("class").asText(null),
                    o.path("within_s").asDouble(),
                    o.path("share").asDouble()));
        }
        JsonNode w = object(cluster, "cluster.", "workers");
        JsonNode s = object(cluster, "cluster.", "state");
        JsonNode c = object(cluster, "cluster.", "cloud");
        JsonNode q = object(cluster, "cluster.", "quota");
        JsonNode services = object(root, "", "services");
        String at = "cluster.workers.";
        Settings settings = new Settings(
                text(root, "", "node_name"),
                text(root, "", "domain"),
                address(root, "", "serve_on"),
                address(root, "", "internal_addr"),
                List.copyOf(peers),
                address(services, "services.", "cloud"),
                address(services, "services.", "state"),
                (int) number(cluster, "cluster.", "count"),
                teams,
                List.copyOf(objectives),
                new Settings.Workers(
                        millis(w, at, "report_s"),
                        millis(w, at, "lease_s"),
                        millis(w, at, "gang_wait_s"),
                        millis(w, at, "gang_peer_s"),
                        millis(w, at, "cancel_s")),
                new Settings.State(
                        positive(s, "cluster.state.", "rps"),
                        positive(s, "cluster.state.", "write_rps"),
                        (int) (positive(s, "cluster.state.", "value_kb") * 1024),
                        (int) positive(s, "cluster.state.", "txn_ops")),
                new Settings.Cloud(positive(c, "cluster.cloud.", "rps"), millis(c, "cluster.cloud.", "list_lag_s")),
                new Settings.Quota(
                        number(q, "cluster.quota.", "cpu_share"), number(q, "cluster.quota.", "ram_mb"), (int)
                                number(q, "cluster.quota.", "sockets")),
                OperatorSettings.DEFAULTS);
        if (settings.leadershipMs() < Constants.LEADERSHIP_MIN_MS) {
            throw new SettingsException("cluster.workers.cancel_s is too short for lease_s: "
                    + "no time is left between them for leadership");
        }
        return settings;
    }

    private static JsonNode object(JsonNode in, String at, String name) throws SettingsException {
        JsonNode value = in.path(name);
        if (!value.isObject()) {
            throw new SettingsException("settings need the table " + at + name);
        }
        return value;
    }

    private static String text(JsonNode in, String at, String name) throws SettingsException {
        JsonNode value = in.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            throw new SettingsException("settings need the text " + at + name);
        }
        return value.asText();
    }

    private static String address(JsonNode in, String at, String name) throws SettingsException {
        String value = text(in, at, name);
        if (!value.matches("[0-9A-Za-z_.-]+:[0-9]{1,5}")
                || Integer.parseInt(value.substring(value.indexOf(':') + 1)) > 65535) {
            throw new SettingsException("settings field " + at + name + " is not host:port: " + value);
        }
        return value;
    }

    private static double number(JsonNode in, String at, String name) throws SettingsException {
        JsonNode value = in.path(name);
        if (!value.isNumber() || value.asDouble() < 0) {
            throw new SettingsException("settings need a number of 0 or more at " + at + name);
        }
        return value.asDouble();
    }

    private static double positive(JsonNode in, String at, String name) throws SettingsException {
        double value = number(in, at, name);
        if (value <= 0) {
            throw new SettingsException("settings need a number over 0 at " + at + name);
        }
        return value;
    }

    private static long millis(JsonNode in, String at, String name) throws SettingsException {
        return Math.round(positive(in, at, name) * 1000);
    }
}
