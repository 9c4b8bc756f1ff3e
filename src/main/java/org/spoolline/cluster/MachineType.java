package org.spoolline.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.spoolline.pipeline.Submission;

/** A machine type as the cloud offers it. Prices are per hour, the boot time in seconds. */
public record MachineType(
        String name,
        double cores,
        double accelerators,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** Reads the cloud's answer; empty when it is none. */
    public static Map<String, MachineType> parse(JsonNode answer) {
        Map<String, MachineType> types = new LinkedHashMap<>();
        for (JsonNode b : answer.path("builds")) {
            List<String> zones = new ArrayList<>();
            b.path("yards").forEach(z -> zones.add(z.asText()));
            String name = b.path("name").asText();
            types.put(
                    name,
                    new MachineType(
                            name,
                            b.path("cores").asDouble(),
                            b.path("accelerators").asDouble(),
                            b.path("memGb").asDouble(),
                            b.path("cacheGb").asDouble(),
                            b.path("pullGbPerS").asDouble(),
                            b.path("rate").asDouble(),
                            b.path("spotPrice").asDouble(),
                            b.path("startupS").asDouble(),
                            zones));
        }
        return types;
    }

    /** True when one task of the job fits an empty machine of this type and the job allows the type. */
    public boolean canRun(Submission job) {
        return (job.machineTypes() == null || job.machineTypes().contains(name))
                && job.cores() <= cores
                && job.accelerators() <= accelerators
                && job.memoryGb() <= memoryGb
                && (job.zone() == null || zones.contains(job.zone()));
    }

    /** Tasks of the job that an empty machine holds. */
    public int tasksPerMachine(Submission job) {
        double count = Math.floor(cores / job.cores() + 1e-9);
        if (job.accelerators() > 0) {
            count = Math.min(count, Math.floor(accelerators / job.accelerators() + 1e-9));
        }
        if (job.memoryGb() > 0) {
            count = Math.min(count, Math.floor(memoryGb / job.memoryGb() + 1e-9));
        }
        return (int) count;
    }
}
