package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A submission beside its stored form, so that a value which is written again carries the form it was read with and no
 * submission is encoded twice.
 *
 * @param submission what the user asked for
 * @param encoded    its stored form, which is never changed
 */
record EncodedSubmission(Submission submission, JsonNode encoded) {
    /** Encodes a submission whose stored form doesn't exist yet. */
    static EncodedSubmission of(Submission submission) {
        return new EncodedSubmission(submission, SubmissionCodec.encode(submission));
    }

    /** Reads a stored form. */
    static EncodedSubmission decode(JsonNode encoded) {
        return new EncodedSubmission(SubmissionCodec.decodeStored(encoded), encoded);
    }
}
