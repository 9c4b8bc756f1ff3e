package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import org.spoolline.net.Json;

/**
 * A submission and its stored form. A job's value that is written again reuses the stored form that was read, so no
 * submission is encoded twice.
 *
 * @param submission the user's request
 * @param encoded    the submission's stored form, which must not be modified
 */
record EncodedSubmission(Submission submission, JsonNode encoded) {
    /** Encodes a submission that has no stored form yet. */
    static EncodedSubmission of(Submission submission) {
        return new EncodedSubmission(submission, SubmissionCodec.encode(submission));
    }

    /** Size of the stored form in bytes. */
    int bytes() {
        return Json.bytes(encoded).length;
    }

    /** Decodes the stored form of a submission. */
    static EncodedSubmission decode(JsonNode encoded) {
        return new EncodedSubmission(SubmissionCodec.decodeStored(encoded), encoded);
    }
}
