package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.SubmissionCodec.Malformed;

/**
 * Reads single fields of a submission's body. Each method but {@link #value} and {@link #isAbsent} throws
 * {@link Malformed}, with the field's name, where the field is missing or not of the form asked for.
 */
record FieldReader(JsonNode body) {
    /** The field as it is, or a missing node. */
    JsonNode value(String field) {
        return body.path(field);
    }

    /** True where the field is left out or null. */
    boolean isAbsent(String field) {
        JsonNode value = value(field);
        return value.isMissingNode() || value.isNull();
    }

    /** A text of at least one character and at most {@link Constants.Job#MAX_NAME}. */
    String text(String field) throws Malformed {
        JsonNode value = value(field);
        if (!isNonEmptyText(value) || value.asText().length() > Constants.Job.MAX_NAME) {
            throw new Malformed(field);
        }
        return value.asText();
    }

    /** The constant that a text names. */
    <E extends Enum<E>> E constant(String field, WireNames<E> names) throws Malformed {
        return names.constantOf(text(field)).orElseThrow(() -> new Malformed(field));
    }

    boolean flag(String field) throws Malformed {
        JsonNode value = value(field);
        if (!value.isBoolean()) {
            throw new Malformed(field);
        }
        return value.asBoolean();
    }

    /** A finite number from 0. */
    double amount(String field) throws Malformed {
        JsonNode value = value(field);
        double amount = value.asDouble(-1);
        if (!value.isNumber() || !(amount >= 0) || Double.isInfinite(amount)) {
            throw new Malformed(field);
        }
        return amount;
    }

    /** True for a text of at least one character. */
    static boolean isNonEmptyText(JsonNode value) {
        return value.isTextual() && !value.asText().isEmpty();
    }
}
