package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/** A submission's wire form: checked on the way in, kept in the stored value by the same names. */
public final class SubmissionCodec {
    private static final String DEPENDENCIES = "waitsOn";
    private static final Pattern UID = Pattern.compile("run-[0-9]{1,30}");

    /** The submission is malformed; the message names the field. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message, null, false, false);
        }
    }

    private SubmissionCodec() {}

    public static boolean isValidJobId(String jobId) {
        return UID.matcher(jobId).matches();
    }

    /** Parses and checks a user's body. */
    public static Submission parse(JsonNode in) throws Malformed {
        if (!in.isObject()) {
            throw new Malformed("the body is not a JSON object");
        }
        String jobId = text(in, "uid");
        if (!isValidJobId(jobId)) {
            throw new Malformed("uid");
        }
        Submission.Shape shape =
                switch (text(in, "shape")) {
                    case "batch" -> Submission.Shape.ARRAY;
                    case "group" -> Submission.Shape.GANG;
                    case "standing" -> Submission.Shape.SERVICE;
                    default -> throw new Malformed("shape");
                };
        Submission.Priority priority =
                switch (text(in, "urgency")) {
                    case "critical" -> Submission.Priority.CRITICAL;
                    case "urgent" -> Submission.Priority.URGENT;
                    case "standard" -> Submission.Priority.STANDARD;
                    case "best_effort" -> Submission.Priority.BEST_EFFORT;
                    default -> throw new Malformed("urgency");
                };
        JsonNode slips = in.path("slips");
        if (!slips.isIntegralNumber()
                || !slips.canConvertToInt()
                || slips.asInt() < 1
                || slips.asInt() > Constants.Job.MAX_TASKS) {
            throw new Malformed("slips");
        }
        Set<String> builds = null;
        JsonNode types = in.path("builds");
        if (types.isArray()) {
            builds = new LinkedHashSet<>();
            for (JsonNode type : types) {
                if (!type.isTextual() || type.asText().isEmpty()) {
                    throw new Malformed("builds");
                }
                builds.add(type.asText());
            }
            if (builds.isEmpty()) {
                throw new Malformed("builds");
            }
        } else if (!absent(types)) {
            throw new Malformed("builds");
        }
        JsonNode yard = in.path("yard");
        if (!absent(yard) && (!yard.isTextual() || yard.asText().isEmpty())) {
            throw new Malformed("yard");
        }
        double cores = amount(in, "cores");
        if (cores <= 0) {
            throw new Malformed("cores");
        }
        Double due = absent(in.path("dueS")) ? null : Double.valueOf(amount(in, "dueS"));
        return new Submission(
                jobId,
                text(in, "lane"),
                text(in, "desk"),
                shape,
                priority,
                slips.asInt(),
                cores,
                amount(in, "accelerators"),
                amount(in, "memGb"),
                text(in, "plate"),
                amount(in, "imageGb"),
                builds,
                absent(yard) ? null : yard.asText(),
                flag(in, "samePlace"),
                flag(in, "scatter"),
                flag(in, "standby"),
                amount(in, "expectS"),
                amount(in, "bookmarkS"),
                amount(in, "stashS"),
                due,
                dependencies(in.path(DEPENDENCIES)));
    }

    /** The compact stored form: the known fields only. */
    public static ObjectNode encode(Submission s) {
        ObjectNode out = Json.object()
                .put("uid", s.jobId())
                .put("lane", s.jobClass())
                .put("desk", s.team())
                .put(
                        "shape",
                        switch (s.shape()) {
                            case ARRAY -> "batch";
                            case GANG -> "group";
                            case SERVICE -> "standing";
                        })
                .put("urgency", s.priority().name().toLowerCase(java.util.Locale.ROOT))
                .put("slips", s.tasks())
                .put("cores", s.cores())
                .put("accelerators", s.accelerators())
                .put("memGb", s.memoryGb())
                .put("plate", s.image())
                .put("imageGb", s.imageGb())
                .put("samePlace", s.singleZone())
                .put("scatter", s.spreadAcrossZones())
                .put("standby", s.allowsSpot())
                .put("expectS", s.estimateS())
                .put("bookmarkS", s.checkpointIntervalS())
                .put("stashS", s.checkpointSaveS());
        if (s.machineTypes() != null) {
            ArrayNode types = out.putArray("builds");
            s.machineTypes().forEach(types::add);
        }
        if (s.zone() != null) {
            out.put("yard", s.zone());
        }
        if (s.deadlineS() != null) {
            out.put("dueS", s.deadlineS());
        }
        if (!s.dependencies().isEmpty()) {
            ArrayNode prerequisites = out.putArray(DEPENDENCIES);
            s.dependencies().forEach(prerequisites::add);
        }
        return out;
    }

    /** Reads a stored form, which was checked before it was stored. */
    public static Submission decodeStored(JsonNode stored) {
        try {
            return parse(stored);
        } catch (Malformed e) {
            throw new IllegalArgumentException("stored submission is damaged at " + e.getMessage(), e);
        }
    }

    /** The ids of the jobs to wait for, each once; null, absent and empty all mean none. */
    private static List<String> dependencies(JsonNode in) throws Malformed {
        if (absent(in)) {
            return List.of();
        }
        if (!in.isArray()) {
            throw new Malformed(DEPENDENCIES);
        }
        Set<String> jobIds = new LinkedHashSet<>();
        for (JsonNode jobId : in) {
            if (!jobId.isTextual() || !isValidJobId(jobId.asText())) {
                throw new Malformed(DEPENDENCIES);
            }
            jobIds.add(jobId.asText());
        }
        return List.copyOf(jobIds);
    }

    private static boolean absent(JsonNode node) {
        return node.isMissingNode() || node.isNull();
    }

    private static String text(JsonNode in, String name) throws Malformed {
        JsonNode value = in.path(name);
        if (!value.isTextual() || value.asText().isEmpty() || value.asText().length() > Constants.Job.MAX_NAME) {
            throw new Malformed(name);
        }
        return value.asText();
    }

    private static boolean flag(JsonNode in, String name) throws Malformed {
        JsonNode value = in.path(name);
        if (!value.isBoolean()) {
            throw new Malformed(name);
        }
        return value.asBoolean();
    }

    private static double amount(JsonNode in, String name) throws Malformed {
        JsonNode value = in.path(name);
        double amount = value.asDouble(-1);
        if (!value.isNumber() || !(amount >= 0) || Double.isInfinite(amount)) {
            throw new Malformed(name);
        }
        return amount;
    }
}
