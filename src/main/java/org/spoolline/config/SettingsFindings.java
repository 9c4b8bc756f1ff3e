package org.spoolline.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Collects the problems of a settings file while it is read, so that they are reported together. */
final class SettingsFindings {
    private final List<String> errors = new ArrayList<>();
    private final List<SettingsFile.Replacement> replacements = new ArrayList<>();
    private final Set<String> unknownFields = new LinkedHashSet<>();

    /** Adds the message for a required field that is missing or invalid, so that the node can't start. */
    void addError(String message) {
        errors.add(message);
    }

    /** Adds a field that is missing or invalid and is replaced by a default. */
    void addReplacement(String field, String found, Object used) {
        replacements.add(new SettingsFile.Replacement(field, found, used));
    }

    /** Adds a field that this version does not know. */
    void addUnknownField(String field) {
        unknownFields.add(field);
    }

    /** Throws if there is any error; the message contains all errors on one line. */
    void throwIfErrors() throws SettingsException {
        if (!errors.isEmpty()) {
            throw new SettingsException(String.join("; ", errors));
        }
    }

    /** Returns the replaced fields in the order in which they were read. */
    List<SettingsFile.Replacement> replacements() {
        return List.copyOf(replacements);
    }

    /** Returns the names of the unknown fields without duplicates, in the order in which they were read. */
    List<String> unknownFields() {
        return List.copyOf(unknownFields);
    }
}
