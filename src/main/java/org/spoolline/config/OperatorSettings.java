package org.spoolline.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/**
 * What operators may tune beyond the platform's file, in an XML file of their own. None of it affects safety: these are
 * times of waiting, not of leases.
 *
 * @param idleMs      ms for which an idle on-demand machine is kept
 * @param idleSpotMs  ms for which an idle spot machine is kept
 * @param cycleMinMs  ms between scheduling cycles at low load
 * @param cycleMaxMs  ms between scheduling cycles at high load
 */
public record OperatorSettings(long idleMs, long idleSpotMs, long cycleMinMs, long cycleMaxMs) {
    /** The settings of a node whose operators tune nothing. */
    public static final OperatorSettings DEFAULTS = new OperatorSettings(
            Constants.Autoscaling.IDLE_MS,
            Constants.Autoscaling.IDLE_SPOT_MS,
            Constants.Cycle.CYCLE_MIN_MS,
            Constants.Cycle.CYCLE_MAX_MS);

    /** Reads a file; the message of an exception names the file or the element. */
    public static OperatorSettings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException("operator settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("operator settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    /** Reads the content of a file; an element that is missing has its default. */
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
