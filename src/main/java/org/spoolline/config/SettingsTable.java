package org.spoolline.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One table of the settings file. A required field that is missing or invalid is added to the findings as an error; any
 * other such field is replaced by the given default, and the replacement is added to the findings. No method throws, so
 * that all errors are reported together.
 */
final class SettingsTable {
    private static final Pattern ADDRESS = Pattern.compile("[0-9A-Za-z_.-]+:[0-9]{1,5}");
    private static final int MAX_PORT = 65_535;
    private static final int MILLIS_PER_S = 1_000;
    private static final int MAX_QUOTE_LENGTH = 60;

    private final JsonNode table;
    private final String path;
    private final SettingsFindings findings;

    private SettingsTable(JsonNode table, String path, SettingsFindings findings) {
        this.table = table;
        this.path = path;
        this.findings = findings;
    }

    /** Returns the root table of the file. */
    static SettingsTable root(JsonNode file, SettingsFindings findings) {
        return new SettingsTable(file, "", findings);
    }

    /** Returns a nested table; if it is missing or not a table, all its fields count as missing. */
    SettingsTable table(String name) {
        JsonNode nested = table.path(name);
        if (!nested.isMissingNode() && !nested.isObject()) {
            findings.addReplacement(path + name, quote(nested), "an empty table");
        }
        return new SettingsTable(nested.isObject() ? nested : MissingNode.getInstance(), path + name + ".", findings);
    }

    /** Returns the tables of an array; an element that is not a table counts as an empty table. */
    List<SettingsTable> tables(String name) {
        List<SettingsTable> all = new ArrayList<>();
        for (JsonNode element : table.path(name)) {
            all.add(new SettingsTable(element, path + name + ".", findings));
        }
        return all;
    }

    /** Adds each field that is not in {@code knownFields} to the findings; returns this table. */
    SettingsTable reportUnknownFields(Set<String> knownFields) {
        for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownFields.contains(name)) {
                findings.addUnknownField(path + name);
            }
        }
        return this;
    }

    /** Returns whether the field exists, with any value. */
    boolean has(String name) {
        return table.has(name);
    }

    /** Returns whether the field exists and is a table. */
    boolean hasTable(String name) {
        return table.path(name).isObject();
    }

    /** Reads a non-empty string; adds an error and returns an empty string if there is none. */
    String requiredText(String name) {
        JsonNode value = table.path(name);
        if (isText(value)) {
            return value.asText();
        }
        findings.addError("settings need the text " + path + name + ", which is " + quote(value));
        return "";
    }

    /** Reads a string of the form host:port; adds an error if there is none or if it has another form. */
    String requiredAddress(String name) {
        String value = requiredText(name);
        boolean valid = ADDRESS.matcher(value).matches()
                && Integer.parseInt(value.substring(value.indexOf(':') + 1)) <= MAX_PORT;
        if (!value.isEmpty() && !valid) {
            findings.addError("settings field " + path + name + " is not host:port: " + value);
        }
        return value;
    }

    /** Reads a number of at least 0; adds an error and returns 0 if there is none. */
    double requiredNumber(String name) {
        JsonNode value = table.path(name);
        if (isNonNegativeNumber(value)) {
            return value.asDouble();
        }
        findings.addError("settings need a number of 0 or more at " + path + name + ", which is " + quote(value));
        return 0;
    }

    /** Reads a positive number of seconds, returned in milliseconds; adds an error if there is none. */
    long requiredMillis(String name) {
        double seconds = requiredNumber(name);
        long millis = Math.round(seconds * MILLIS_PER_S);
        if (isNonNegativeNumber(table.path(name)) && millis <= 0) {
            findings.addError("settings need a number over 0 at " + path + name + ", which is " + seconds);
        }
        return millis;
    }

    /** Reads a non-empty string, or returns the default. */
    String text(String name, String defaultValue) {
        JsonNode value = table.path(name);
        return isText(value) ? value.asText() : useDefault(name, value, defaultValue);
    }

    /** Reads an optional non-empty string; null if it is missing or invalid. */
    String optionalText(String name) {
        return isAbsent(table.path(name)) ? null : text(name, null);
    }

    /** Reads a number of at least 0, or returns the default. */
    double number(String name, double defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) ? value.asDouble() : useDefault(name, value, defaultValue);
    }

    /** Reads an optional number of at least 0; null if it is missing or invalid. */
    Double optionalNumber(String name) {
        JsonNode value = table.path(name);
        if (isAbsent(value) || isNonNegativeNumber(value)) {
            return isAbsent(value) ? null : Double.valueOf(value.asDouble());
        }
        return useDefault(name, value, null);
    }

    /** Reads a positive number, or returns the default. */
    double positiveNumber(String name, double defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) && value.asDouble() > 0
                ? value.asDouble()
                : useDefault(name, value, defaultValue);
    }

    /** Reads a number of at least 1 and drops its fraction, or returns the default. */
    int count(String name, int defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) && value.asDouble() >= 1
                ? (int) value.asDouble()
                : useDefault(name, value, defaultValue);
    }

    /** Reads a positive number of seconds and returns it in milliseconds, or returns the default in milliseconds. */
    long millis(String name, long defaultValue) {
        JsonNode value = table.path(name);
        long millis = isNonNegativeNumber(value) ? Math.round(value.asDouble() * MILLIS_PER_S) : 0;
        return millis > 0 ? millis : useDefault(name, value, defaultValue);
    }

    private <T> T useDefault(String name, JsonNode found, T used) {
        findings.addReplacement(path + name, quote(found), used);
        return used;
    }

    private static boolean isAbsent(JsonNode value) {
        return value.isMissingNode() || value.isNull();
    }

    private static boolean isText(JsonNode value) {
        return value.isTextual() && !value.asText().isEmpty();
    }

    private static boolean isNonNegativeNumber(JsonNode value) {
        return value.isNumber() && value.asDouble() >= 0 && !Double.isInfinite(value.asDouble());
    }

    private static String quote(JsonNode value) {
        if (isAbsent(value)) {
            return "missing";
        }
        String text = value.toString();
        return text.length() <= MAX_QUOTE_LENGTH ? text : text.substring(0, MAX_QUOTE_LENGTH) + "…";
    }
}
