package org.spoolline.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects what is wrong with a settings file while it is read, so that all of it is reported at once. */
final class SettingsFindings {
    private final List<String> errors = new ArrayList<>();
    private final List<SettingsFile.Replacement> replacements = new ArrayList<>();
    private final Set<String> unknownFields = new LinkedHashSet<>();

    /** A required field is missing or unusable, so that the node can't start. */
    void addError(String message) {
        errors.add(message);
    }

    /** A field is missing or unusable, and a default is used. */
    void addReplacement(String field, String found, Object used) {
        replacements.add(new SettingsFile.Replacement(field, found, used));
    }

    /** This version does not know the field. */
    void addUnknownField(String field) {
        unknownFields.add(field);
    }

    /** Throws if any field was rejected; the message names all of them on one line. */
    void throwIfErrors() throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(String.join("; ", errors));
        }
    }

    /** The fields that were replaced, in the order in which they were read. */
    List<SettingsFile.Replacement> replacements() {
        return List.copyOf(replacements);
    }

    /** The names of unknown fields, each once, in the order in which they were read. */
    List<String> unknownFields() {
        return List.copyOf(unknownFields);
    }
}
