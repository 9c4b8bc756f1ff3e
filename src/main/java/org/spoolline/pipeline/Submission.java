package org.spoolline.pipeline;

import java.util.Set;

/** What a user asked for, checked. {@code builds} is null for any machine type, {@code zone} for any zone. */
public record Submission(String uid, String jobClass, String team, boolean gang, Priority priority, int tasks,
                         double cores, double accelerators, double memoryGb, String image, double imageGb,
                         Set<String> types, String zone, boolean oneZone, boolean spread, boolean spot,
                         double estimateS, double checkpointS, double saveS, Double deadlineS) {

    /** From least to most urgent. */
    public enum Priority {
        BEST_EFFORT, STANDARD, URGENT, CRITICAL
    }

    /** A task that saves its progress when it is stopped with enough grace. */
    public boolean saves() {
        return checkpointS > 0;
    }

    /** At most so many of the tasks may be in one zone. */
    public int zoneLimit() {
        return spread ? (tasks + 1) / 2 : tasks;
    }
}
