package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Submission.Priority;
import org.spoolline.pipeline.Submission.Shape;

/**
 * Converts submissions to and from their wire form. The wire form is checked when a user sends it, and stored in the
 * job's value with the same field names. The names belong to the users' protocol, and only this class maps them to
 * those of {@link Submission}.
 */
public final class SubmissionCodec {
    private static final String JOB_ID = "uid";
    private static final String JOB_CLASS = "lane";
    private static final String TEAM = "desk";
    private static final String SHAPE = "shape";
    private static final String PRIORITY = "urgency";
    private static final String TASKS = "slips";
    private static final String CORES = "cores";
    private static final String ACCELERATORS = "accelerators";
    private static final String MEMORY_GB = "memGb";
    private static final String IMAGE = "plate";
    private static final String IMAGE_GB = "imageGb";
    private static final String MACHINE_TYPES = "builds";
    private static final String ZONE = "yard";
    private static final String SINGLE_ZONE = "samePlace";
    private static final String SPREAD_ACROSS_ZONES = "scatter";
    private static final String ALLOWS_SPOT = "standby";
    private static final String ESTIMATE_S = "expectS";
    private static final String CHECKPOINT_INTERVAL_S = "bookmarkS";
    private static final String CHECKPOINT_SAVE_S = "stashS";
    private static final String DEADLINE_S = "dueS";
    private static final String DEPENDENCIES = "waitsOn";

    private static final WireNames<Shape> SHAPES =
            new WireNames<>(Shape.class, Map.of("batch", Shape.ARRAY, "group", Shape.GANG, "standing", Shape.SERVICE));
    private static final WireNames<Priority> PRIORITIES = new WireNames<>(
            Priority.class,
            Map.of(
                    "critical", Priority.CRITICAL,
                    "urgent", Priority.URGENT,
                    "standard", Priority.STANDARD,
                    "best_effort", Priority.BEST_EFFORT));

    private static final String JOB_ID_PREFIX = "run-";
    private static final int JOB_ID_DIGITS_MAX = 30;

    /** Thrown for a malformed submission. The message is for the user and names the field. Has no stack trace. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;
        private static final String NOT_JSON = "the body is not a JSON object";

        Malformed(String message) {
            super(message, null, false, false);
        }

        private static Malformed notJson() {
            return new Malformed(NOT_JSON);
        }

        /** True if the body is not a JSON object, false if a field is missing or invalid. */
        public boolean isNotJson() {
            return NOT_JSON.equals(getMessage());
        }
    }

    private SubmissionCodec() {}

    /** True if the text has the form of a job id, whether or not the job exists. */
    public static boolean isValidJobId(String jobId) {
        int digits = jobId.length() - JOB_ID_PREFIX.length();
        if (digits < 1 || digits > JOB_ID_DIGITS_MAX || !jobId.startsWith(JOB_ID_PREFIX)) {
            return false;
        }
        for (int i = JOB_ID_PREFIX.length(); i < jobId.length(); i++) {
            char digit = jobId.charAt(i);
            if (digit < '0' || digit > '9') {
                return false;
            }
        }
        return true;
    }

    /**
     * Parses and checks the body of a user's request; unknown fields are ignored. The order of the checks determines
     * which one of several malformed fields is reported to the user.
     *
     * @throws Malformed for the first malformed field
     */
    public static Submission parse(JsonNode body) throws Malformed {
        if (!body.isObject()) {
            throw Malformed.notJson();
        }
        FieldReader fields = new FieldReader(body);
        String jobId = jobId(fields);
        Shape shape = fields.constant(SHAPE, SHAPES);
        Priority priority = fields.constant(PRIORITY, PRIORITIES);
        int tasks = taskCount(fields);
        Set<String> machineTypes = machineTypes(fields);
        String zone = zone(fields);
        double cores = cores(fields);
        OptionalDouble deadlineS = deadlineS(fields);
        String jobClass = fields.text(JOB_CLASS);
        String team = fields.text(TEAM);
        TaskResources resources = resources(fields, cores);
        PlacementConstraints placement = placement(fields, machineTypes, zone);
        double estimateS = fields.nonNegativeNumber(ESTIMATE_S);
        CheckpointPolicy checkpointPolicy = checkpointPolicy(fields);
        List<String> dependencies = dependencies(fields);
        return new Submission(
                jobId,
                jobClass,
                team,
                shape,
                priority,
                tasks,
                resources,
                placement,
                estimateS,
                checkpointPolicy,
                deadlineS,
                dependencies);
    }

    /**
     * Decodes the stored form of a submission, which was checked before it was stored.
     *
     * @throws IllegalArgumentException if the stored form is damaged
     */
    public static Submission decodeStored(JsonNode stored) {
        try {
            return parse(stored);
        } catch (Malformed e) {
            throw new IllegalArgumentException("stored submission is damaged at " + e.getMessage(), e);
        }
    }

    /** Returns the compact stored form: only the known fields, always in the same order. */
    public static ObjectNode encode(Submission submission) {
        ObjectNode encoded = Json.object()
                .put(JOB_ID, submission.jobId())
                .put(JOB_CLASS, submission.jobClass())
                .put(TEAM, submission.team())
                .put(SHAPE, SHAPES.nameOf(submission.shape()))
                .put(PRIORITY, PRIORITIES.nameOf(submission.priority()))
                .put(TASKS, submission.tasks())
                .put(CORES, submission.cores())
                .put(ACCELERATORS, submission.accelerators())
                .put(MEMORY_GB, submission.memoryGb())
                .put(IMAGE, submission.image())
                .put(IMAGE_GB, submission.imageGb())
                .put(SINGLE_ZONE, submission.singleZone())
                .put(SPREAD_ACROSS_ZONES, submission.spreadAcrossZones())
                .put(ALLOWS_SPOT, submission.allowsSpot())
                .put(ESTIMATE_S, submission.estimateS())
                .put(CHECKPOINT_INTERVAL_S, submission.checkpointIntervalS())
                .put(CHECKPOINT_SAVE_S, submission.checkpointSaveS());
        encodeOptionalFields(submission, encoded);
        return encoded;
    }

    private static void encodeOptionalFields(Submission submission, ObjectNode encoded) {
        if (submission.machineTypes() != null) {
            ArrayNode machineTypes = encoded.putArray(MACHINE_TYPES);
            submission.machineTypes().forEach(machineTypes::add);
        }
        if (submission.zone() != null) {
            encoded.put(ZONE, submission.zone());
        }
        if (submission.deadlineS().isPresent()) {
            encoded.put(DEADLINE_S, submission.deadlineS().getAsDouble());
        }
        if (!submission.dependencies().isEmpty()) {
            ArrayNode dependencies = encoded.putArray(DEPENDENCIES);
            submission.dependencies().forEach(dependencies::add);
        }
    }

    private static String jobId(FieldReader fields) throws Malformed {
        String jobId = fields.text(JOB_ID);
        if (!isValidJobId(jobId)) {
            throw new Malformed(JOB_ID);
        }
        return jobId;
    }

    private static int taskCount(FieldReader fields) throws Malformed {
        double number = fields.value(TASKS).isNumber() ? fields.value(TASKS).doubleValue() : 0;
        int tasks = (int) number;
        if (tasks != number || tasks < 1 || tasks > Constants.Job.MAX_TASKS) {
            throw new Malformed(TASKS);
        }
        return tasks;
    }

    private static double cores(FieldReader fields) throws Malformed {
        double cores = fields.nonNegativeNumber(CORES);
        if (cores <= 0) {
            throw new Malformed(CORES);
        }
        return cores;
    }

    private static TaskResources resources(FieldReader fields, double cores) throws Malformed {
        double accelerators = fields.nonNegativeNumber(ACCELERATORS);
        double memoryGb = fields.nonNegativeNumber(MEMORY_GB);
        String image = fields.text(IMAGE);
        double imageGb = fields.nonNegativeNumber(IMAGE_GB);
        return new TaskResources(cores, accelerators, memoryGb, image, imageGb);
    }

    private static PlacementConstraints placement(FieldReader fields, Set<String> machineTypes, String zone)
            throws Malformed {
        boolean singleZone = fields.flag(SINGLE_ZONE);
        boolean spreadAcrossZones = fields.flag(SPREAD_ACROSS_ZONES);
        boolean allowsSpot = fields.flag(ALLOWS_SPOT);
        return new PlacementConstraints(machineTypes, zone, singleZone, spreadAcrossZones, allowsSpot);
    }

    private static CheckpointPolicy checkpointPolicy(FieldReader fields) throws Malformed {
        double intervalS = fields.nonNegativeNumber(CHECKPOINT_INTERVAL_S);
        double saveS = fields.nonNegativeNumber(CHECKPOINT_SAVE_S);
        return new CheckpointPolicy(intervalS, saveS);
    }

    private static OptionalDouble deadlineS(FieldReader fields) throws Malformed {
        return fields.isAbsent(DEADLINE_S)
                ? OptionalDouble.empty()
                : OptionalDouble.of(fields.nonNegativeNumber(DEADLINE_S));
    }

    /**
     * The allowed machine types in the user's order, or null if all are allowed. An empty list is malformed, because
     * it would allow no machine at all.
     */
    private static Set<String> machineTypes(FieldReader fields) throws Malformed {
        if (fields.isAbsent(MACHINE_TYPES)) {
            return null;
        }
        JsonNode names = fields.value(MACHINE_TYPES);
        if (!names.isArray() || names.isEmpty()) {
            throw new Malformed(MACHINE_TYPES);
        }
        Set<String> machineTypes = new LinkedHashSet<>();
        for (JsonNode name : names) {
            if (!FieldReader.isNonEmptyText(name)) {
                throw new Malformed(MACHINE_TYPES);
            }
            machineTypes.add(name.asText());
        }
        return machineTypes;
    }

    /** The only allowed zone, or null if all are allowed. */
    private static String zone(FieldReader fields) throws Malformed {
        if (fields.isAbsent(ZONE)) {
            return null;
        }
        JsonNode zone = fields.value(ZONE);
        if (!FieldReader.isNonEmptyText(zone)) {
            throw new Malformed(ZONE);
        }
        return zone.asText();
    }

    /** The ids of the jobs to wait for, without duplicates; empty if the field is missing, null or an empty list. */
    private static List<String> dependencies(FieldReader fields) throws Malformed {
        if (fields.isAbsent(DEPENDENCIES)) {
            return List.of();
        }
        JsonNode ids = fields.value(DEPENDENCIES);
        if (!ids.isArray()) {
            throw new Malformed(DEPENDENCIES);
        }
        Set<String> jobIds = new LinkedHashSet<>();
        for (JsonNode id : ids) {
            if (!id.isTextual() || !isValidJobId(id.asText())) {
                throw new Malformed(DEPENDENCIES);
            }
            jobIds.add(id.asText());
        }
        return List.copyOf(jobIds);
    }
}
