package org.spoolline.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/**
 * Settings that operators may change in an XML file of their own, in addition to the platform's settings file. None of
 * them affects safety: they are waiting times, not lease durations.
 *
 * @param idleMs      time in ms for which an idle on-demand machine is kept
 * @param idleSpotMs  time in ms for which an idle spot machine is kept
 * @param cycleMinMs  interval in ms between scheduling cycles at low load
 * @param cycleMaxMs  interval in ms between scheduling cycles at full load
 */
public record OperatorSettings(long idleMs, long idleSpotMs, long cycleMinMs, long cycleMaxMs) {
    /** The settings of a node without an operator settings file. */
    public static final OperatorSettings DEFAULTS = new OperatorSettings(
            Constants.Autoscaling.IDLE_MS,
            Constants.Autoscaling.IDLE_SPOT_MS,
            Constants.Cycle.CYCLE_MIN_MS,
            Constants.Cycle.CYCLE_MAX_MS);

    /** Reads an operator settings file; the message of the exception names the file or the invalid element. */
    public static OperatorSettings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException("operator settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("operator settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    /** Parses the content of an operator settings file; a missing element gets its default. */
    public static OperatorSettings parse(String xml) throws SettingsException {
        JsonNode root;
        try {
            root = new XmlMapper().readTree(xml);
        } catch (IOException e) {
            throw new SettingsException("operator settings are not valid XML");
        }
        OperatorSettings settings = DEFAULTS;
        for (Map.Entry<String, JsonNode> element : root.properties()) {
            settings = settings.with(element.getKey(), element.getValue());
        }
        if (settings.cycleMinMs > settings.cycleMaxMs) {
            throw new SettingsException("operator settings: round-min-ms is over round-max-ms");
        }
        return settings;
    }

    private OperatorSettings with(String element, JsonNode value) throws SettingsException {
        return switch (element) {
            case "idle-ms" -> new OperatorSettings(millis(element, value), idleSpotMs, cycleMinMs, cycleMaxMs);
            case "idle-spot-ms" -> new OperatorSettings(idleMs, millis(element, value), cycleMinMs, cycleMaxMs);
            case "round-min-ms" -> new OperatorSettings(idleMs, idleSpotMs, millis(element, value), cycleMaxMs);
            case "round-max-ms" -> new OperatorSettings(idleMs, idleSpotMs, cycleMinMs, millis(element, value));
            default -> throw new SettingsException("operator settings: unknown element " + element);
        };
    }

    private static long millis(String element, JsonNode value) throws SettingsException {
        String text = value.asText().strip();
        if (!text.matches("[0-9]{1,7}") || Long.parseLong(text) == 0) {
            throw new SettingsException("operator settings: " + element + " is not a number of milliseconds: " + text);
        }
        return Long.parseLong(text);
    }
}
