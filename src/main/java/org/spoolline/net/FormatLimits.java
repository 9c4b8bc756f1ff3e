package org.spoolline.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamWriteConstraints;
import com.fasterxml.jackson.core.TSFBuilder;
import org.spoolline.config.NetworkConstants;

/**
 * Limits for Jackson formats that read what other processes send. They follow from the maximum sizes of bodies, so that
 * no default of the library rejects a valid body because of fields that have to be ignored.
 */
public final class FormatLimits {
    private FormatLimits() {}

    /**
     * Applies the limits to a format that keeps the names of fields for the bodies that it reads later. It throws a
     * StreamConstraintsException for a name that is too long to be kept. Names with equal hashes are read more slowly.
     */
    static <B extends TSFBuilder<?, B>> B keepingNames(B format) {
        return format.streamReadConstraints(readConstraints(NetworkConstants.MAX_KEPT_NAME_CHARS))
                .streamWriteConstraints(writeConstraints())
                .disable(JsonFactory.Feature.FAIL_ON_SYMBOL_HASH_OVERFLOW);
    }

    /** Applies the limits to a format that keeps nothing of what it has read. */
    public static <B extends TSFBuilder<?, B>> B keepingNothing(B format) {
        return format.streamReadConstraints(readConstraints(NetworkConstants.MAX_TOKEN_CHARS))
                .streamWriteConstraints(writeConstraints())
                .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES);
    }

    private static StreamReadConstraints readConstraints(int maxNameChars) {
        return StreamReadConstraints.builder()
                .maxNestingDepth(NetworkConstants.MAX_NESTING_DEPTH)
                .maxNameLength(maxNameChars)
                .maxNumberLength(NetworkConstants.MAX_TOKEN_CHARS)
                .maxStringLength(NetworkConstants.MAX_RESPONSE_BYTES)
                .build();
    }

    private static StreamWriteConstraints writeConstraints() {
        return StreamWriteConstraints.builder()
                .maxNestingDepth(NetworkConstants.MAX_NESTING_DEPTH)
                .build();
    }
}
