package org.spoolline.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/**
 * What operators may tune beyond the platform's file, in XML. Nothing here can weaken a rule: these are times of
 * waiting, not of leases.
 *
 * @param idleMs      ms an idle ordinary machine is kept
 * @param idleSpotMs  ms an idle spot machine is kept
 * @param cycleMinMs  ms of the shortest cycle of decisions
 * @param cycleMaxMs  ms of the widest cycle of decisions
 */
public record OperatorSettings(long idleMs, long idleSpotMs, long cycleMinMs, long cycleMaxMs) {
    public static final OperatorSettings DEFAULTS = new OperatorSettings(
            Constants.Autoscaling.IDLE_MS,
            Constants.Autoscaling.IDLE_SPOT_MS,
            Constants.Cycle.CYCLE_MIN_MS,
            Constants.Cycle.CYCLE_MAX_MS);

    public static OperatorSettings read(Path file) throws SettingsException {
        try {
            return parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            throw new SettingsException("operator settings file " + file + " does not exist");
        } catch (IOException e) {
            throw new SettingsException("operator settings file " + file + " can't be read: " + e.getMessage());
        }
    }

    public static OperatorSettings parse(String xml) throws SettingsException {
        JsonNode root;
        try {
            root = new XmlMapper().readTree(xml);
        } catch (IOException e) {
            throw new SettingsException("operator settings are not valid XML");
        }
        long[] values = {DEFAULTS.idleMs, DEFAULTS.idleSpotMs, DEFAULTS.cycleMinMs, DEFAULTS.cycleMaxMs};
        for (Map.Entry<String, JsonNode> field : root.properties()) {
            int index =
                    switch (field.getKey()) {
                        case "idle-ms" -> 0;
                        case "idle-spot-ms" -> 1;
                        case "round-min-ms" -> 2;
                        case "round-max-ms" -> 3;
                        default -> throw new SettingsException("operator settings: unknown element " + field.getKey());
                    };
            values[index] = millis(field.getKey(), field.getValue().asText().strip());
        }
        if (values[2] > values[3]) {
            throw new SettingsException("operator settings: round-min-ms is over round-max-ms");
        }
        return new OperatorSettings(values[0], values[1], values[2], values[3]);
    }

    private static long millis(String name, String text) throws SettingsException {
        if (!text.matches("[0-9]{1,7}") || Long.parseLong(text) == 0) {
            throw new SettingsException("operator settings: " + name + " is not a number of milliseconds: " + text);
        }
        return Long.parseLong(text);
    }
}
