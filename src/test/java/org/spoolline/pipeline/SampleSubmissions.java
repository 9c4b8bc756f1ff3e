package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spoolline.net.Json;

/** Bodies of submissions that contain every required field. */
public final class SampleSubmissions {
    private SampleSubmissions() {}

    /**
     * Body of a job of standard priority without checkpoints, whose tasks may run on any machine; the caller may set
     * further fields.
     *
     * @param shape the wire name of the job's shape, such as {@code batch} for an array job or {@code group} for a gang
     */
    public static ObjectNode body(String jobId, String team, String shape, int tasks, double cores) {
        return Json.object()
                .put("uid", jobId)
                .put("lane", "any")
                .put("desk", team)
                .put("shape", shape)
                .put("urgency", "standard")
                .put("slips", tasks)
                .put("cores", cores)
                .put("accelerators", 0)
                .put("memGb", 1)
                .put("plate", "img")
                .put("imageGb", 1)
                .put("samePlace", false)
                .put("scatter", false)
                .put("standby", true)
                .put("expectS", 20.0)
                .put("bookmarkS", 0)
                .put("stashS", 0);
    }

    /** Pipeline of an accepted array job without attempts. */
    public static Pipeline acceptedArray(String jobId, String team, int tasks, double cores) {
        return accepted(body(jobId, team, "batch", tasks, cores), 0);
    }

    /**
     * Pipeline of the accepted job with this body, without attempts.
     *
     * @param submittedAt time of day in ms
     */
    public static Pipeline accepted(ObjectNode body, long submittedAt) {
        try {
            return Pipeline.accept(SubmissionCodec.parse(body), body, submittedAt);
        } catch (SubmissionCodec.Malformed e) {
            throw new AssertionError(e);
        }
    }
}
