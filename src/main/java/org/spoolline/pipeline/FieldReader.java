package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.SubmissionCodec.Malformed;

/**
 * Reads the fields of a submission's body. The methods that read a field of a required form throw {@link Malformed},
 * with the field's name, if the field is missing or doesn't have that form.
 */
record FieldReader(JsonNode body) {
    /** Returns the field's value unchecked, or a missing node if there is no such field. */
    JsonNode value(String field) {
        return body.path(field);
    }

    /** True if the field is missing or null. */
    boolean isAbsent(String field) {
        JsonNode value = value(field);
        return value.isMissingNode() || value.isNull();
    }

    /** Reads a text of at least one character and at most {@link Constants.Job#MAX_NAME}. */
    String text(String field) throws Malformed {
        String text = value(field).textValue();
        if (text == null || text.isEmpty() || text.length() > Constants.Job.MAX_NAME) {
            throw new Malformed(field);
        }
        return text;
    }

    /** Reads a text and returns the enum constant that has it as its wire name. */
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

    /** Reads a finite number of 0 or more. */
    double nonNegativeNumber(String field) throws Malformed {
        JsonNode value = value(field);
        double number = value.isNumber() ? value.doubleValue() : -1;
        if (!(number >= 0 && number <= Double.MAX_VALUE)) {
            throw new Malformed(field);
        }
        return number;
    }

    /** True if the value is a text of at least one character. */
    static boolean isNonEmptyText(JsonNode value) {
        return value.isTextual() && !value.asText().isEmpty();
    }
}
