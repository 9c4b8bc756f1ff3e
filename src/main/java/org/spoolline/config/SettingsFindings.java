package org.spoolline.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** What the reading of a settings file has found: fields that keep a node from starting, and those that don't. */
final class SettingsFindings {
    private final List<String> refusals = new ArrayList<>();
    private final List<String> replacements = new ArrayList<>();
    private final Set<String> unknown = new LinkedHashSet<>();

    /** A field without which no node can serve or keep the rules. */
    void refuse(String message) {
        refusals.add(message);
    }

    /** A field for which a default is taken. */
    void replace(String field, String found, Object used) {
        replacements.add("settings field " + field + " is " + found + ", " + used + " is used");
    }

    /** A field that this version does not know. */
    void unknown(String field) {
        unknown.add(field);
    }

    /** Ends the reading if any field was refused; the message names all of them on one line. */
    void throwIfRefused() throws SettingsException {
        if (!refusals.isEmpty()) {
            throw new SettingsException(String.join("; ", refusals));
        }
    }

    /** One line for each field that was replaced. */
    List<String> replacements() {
        return List.copyOf(replacements);
    }

    /** The names of unknown fields, each once. */
    List<String> unknownFields() {
        return List.copyOf(unknown);
    }
}
