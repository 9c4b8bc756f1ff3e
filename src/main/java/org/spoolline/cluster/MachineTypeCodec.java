package org.spoolline.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Decodes machine types from the cloud's response, which is stored unchanged. No other class depends on its fields. */
final class MachineTypeCodec {
    private MachineTypeCodec() {}

    /** The types by name, in the order of the response; empty when it contains no machine types. */
    static Map<String, MachineType> parse(JsonNode reply) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        for (JsonNode type : reply.path("builds")) {
            String name = type.path("name").asText();
            types.put(name, parseType(name, type));
        }
        return types;
    }

    private static MachineType parseType(String name, JsonNode type) {
        List<String> zones = new ArrayList<>();
        type.path("yards").forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                name,
                type.path("cores").asDouble(),
                type.path("accelerators").asDouble(),
                type.path("memGb").asDouble(),
                type.path("cacheGb").asDouble(),
                type.path("pullGbPerS").asDouble(),
                type.path("rate").asDouble(),
                type.path("spotPrice").asDouble(),
                type.path("startupS").asDouble(),
                zones);
    }
}
