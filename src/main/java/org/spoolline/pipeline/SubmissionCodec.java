package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.regex.Pattern;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Submission.Priority;
import org.spoolline.pipeline.Submission.Shape;

/**
 * A submission's wire form: checked when a user sends it, and kept in the stored value of the job under the same names.
 * The names are the users' and mapped to those of {@link Submission} here only.
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

    private static final Pattern JOB_ID_FORM = Pattern.compile("run-[0-9]{1,30}");

    /** The submission is malformed; the message, which is for the user, names the field. Has no stack trace. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false);
        }
    }

    private SubmissionCodec() {}

    /** True when the text has the form of a job's id, whether or not there is such a job. */
    public static boolean isValidJobId(String jobId) {
        return JOB_ID_FORM.matcher(jobId).matches();
    }

    /**
     * Parses and checks a user's body; unknown fields are ignored. The order of the checks decides which of several
     * malformed fields the user learns of.
     *
     * @throws Malformed at the first field that isn't well-formed
     */
    public static Submission parse(JsonNode body) throws Malformed {
        if (!body.isObject()) {
            throw new Malformed("the body is not a JSON object");
        }
        FieldReader in = new FieldReader(body);
        String jobId = jobId(in);
        Shape shape = in.constant(SHAPE, SHAPES);
        Priority priority = in.constant(PRIORITY, PRIORITIES);
        int tasks = taskCount(in);
        Set<String> machineTypes = machineTypes(in);
        String zone = zone(in);
        double cores = cores(in);
        OptionalDouble deadlineS = deadlineS(in);
        String jobClass = in.text(JOB_CLASS);
        String team = in.text(TEAM);
        TaskResources resources = resources(in, cores);
        PlacementConstraints placement = placement(in, machineTypes, zone);
        double estimateS = in.amount(ESTIMATE_S);
        CheckpointPolicy checkpointPolicy = checkpointPolicy(in);
        List<String> dependencies = dependencies(in);
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
     * Reads a stored form, which was checked before it was stored.
     *
     * @throws IllegalArgumentException if it is damaged
     */
    public static Submission decodeStored(JsonNode stored) {
        try {
            return parse(stored);
        } catch (Malformed e) {
            throw new IllegalArgumentException("stored submission is damaged at " + e.getMessage(), e);
        }
    }

    /** The compact stored form: the known fields only, in an order that stays the same. */
    public static ObjectNode encode(Submission submission) {
        ObjectNode out = Json.object()
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
        encodeOptionalFields(submission, out);
        return out;
    }

    private static void encodeOptionalFields(Submission submission, ObjectNode out) {
        if (submission.machineTypes() != null) {
            ArrayNode machineTypes = out.putArray(MACHINE_TYPES);
            submission.machineTypes().forEach(machineTypes::add);
        }
        if (submission.zone() != null) {
            out.put(ZONE, submission.zone());
        }
        if (submission.deadlineS().isPresent()) {
            out.put(DEADLINE_S, submission.deadlineS().getAsDouble());
        }
        if (!submission.dependencies().isEmpty()) {
            ArrayNode dependencies = out.putArray(DEPENDENCIES);
            submission.dependencies().forEach(dependencies::add);
        }
    }

    private static String jobId(FieldReader in) throws Malformed {
        String jobId = in.text(JOB_ID);
        if (!isValidJobId(jobId)) {
            throw new Malformed(JOB_ID);
        }
        return jobId;
    }

    private static int taskCount(FieldReader in) throws Malformed {
        JsonNode tasks = in.value(TASKS);
        if (!tasks.isIntegralNumber()
                || !tasks.canConvertToInt()
                || tasks.asInt() < 1
                || tasks.asInt() > Constants.Job.MAX_TASKS) {
            throw new Malformed(TASKS);
        }
        return tasks.asInt();
    }

    private static double cores(FieldReader in) throws Malformed {
        double cores = in.amount(CORES);
        if (cores <= 0) {
            throw new Malformed(CORES);
        }
        return cores;
    }

    private static TaskResources resources(FieldReader in, double cores) throws Malformed {
        double accelerators = in.amount(ACCELERATORS);
        double memoryGb = in.amount(MEMORY_GB);
        String image = in.text(IMAGE);
        double imageGb = in.amount(IMAGE_GB);
        return new TaskResources(cores, accelerators, memoryGb, image, imageGb);
    }

    private static PlacementConstraints placement(FieldReader in, Set<String> machineTypes, String zone)
            throws Malformed {
        boolean singleZone = in.flag(SINGLE_ZONE);
        boolean spreadAcrossZones = in.flag(SPREAD_ACROSS_ZONES);
        boolean allowsSpot = in.flag(ALLOWS_SPOT);
        return new PlacementConstraints(machineTypes, zone, singleZone, spreadAcrossZones, allowsSpot);
    }

    private static CheckpointPolicy checkpointPolicy(FieldReader in) throws Malformed {
        double intervalS = in.amount(CHECKPOINT_INTERVAL_S);
        double saveS = in.amount(CHECKPOINT_SAVE_S);
        return new CheckpointPolicy(intervalS, saveS);
    }

    private static OptionalDouble deadlineS(FieldReader in) throws Malformed {
        return in.isAbsent(DEADLINE_S) ? OptionalDouble.empty() : OptionalDouble.of(in.amount(DEADLINE_S));
    }

    /** The machine types in the user's order, or null for any; a list without one would allow no machine at all. */
    private static Set<String> machineTypes(FieldReader in) throws Malformed {
        if (in.isAbsent(MACHINE_TYPES)) {
            return null;
        }
        JsonNode names = in.value(MACHINE_TYPES);
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

    /** The zone, or null for any. */
    private static String zone(FieldReader in) throws Malformed {
        if (in.isAbsent(ZONE)) {
            return null;
        }
        JsonNode zone = in.value(ZONE);
        if (!FieldReader.isNonEmptyText(zone)) {
            throw new Malformed(ZONE);
        }
        return zone.asText();
    }

    /** The ids of the jobs to wait for, each once; null, absent and empty all mean none. */
    private static List<String> dependencies(FieldReader in) throws Malformed {
        if (in.isAbsent(DEPENDENCIES)) {
            return List.of();
        }
        JsonNode ids = in.value(DEPENDENCIES);
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
