package org.spoolline.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * One table of the settings file. A required field that is missing or unusable is rejected; any other such field is replaced
 * by the given default. Both are added to the findings, and reading goes on, so that all of them are reported at once.
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

    /** The table that is the whole file. */
    static SettingsTable root(JsonNode file, SettingsFindings findings) {
        return new SettingsTable(file, "", findings);
    }

    /** A table within this one; when it is missing or no table, all of its fields count as missing. */
    SettingsTable table(String name) {
        JsonNode nested = table.path(name);
        if (!nested.isMissingNode() && !nested.isObject()) {
            findings.addReplacement(path + name, quote(nested), "an empty table");
        }
        return new SettingsTable(nested.isObject() ? nested : MissingNode.getInstance(), path + name + ".", findings);
    }

    /** The tables of an array; an element that is no table counts as an empty one. */
    List<SettingsTable> tables(String name) {
        List<SettingsTable> all = new ArrayList<>();
        for (JsonNode element : table.path(name)) {
            all.add(new SettingsTable(element, path + name + ".", findings));
        }
        return all;
    }

    /** Adds each field that is not among the known ones to the findings. Returns this table. */
    SettingsTable reportUnknownFields(Set<String> knownFields) {
        for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!knownFields.contains(name)) {
                findings.addUnknownField(path + name);
            }
        }
        return this;
    }

    /** True when the field is there, whatever it holds. */
    boolean has(String name) {
        return table.has(name);
    }

    /** True when the field is there and is a table. */
    boolean hasTable(String name) {
        return table.path(name).isObject();
    }

    /** A text that is not empty; rejected otherwise. */
    String requiredText(String name) {
        JsonNode value = table.path(name);
        if (isText(value)) {
            return value.asText();
        }
        findings.addError("settings need the text " + path + name + ", which is " + quote(value));
        return "";
    }

    /** A text of the form host:port; rejected otherwise. */
    String requiredAddress(String name) {
        String value = requiredText(name);
        boolean valid = ADDRESS.matcher(value).matches()
                && Integer.parseInt(value.substring(value.indexOf(':') + 1)) <= MAX_PORT;
        if (!value.isEmpty() && !valid) {
            findings.addError("settings field " + path + name + " is not host:port: " + value);
        }
        return value;
    }

    /** A number of 0 or more; rejected otherwise. */
    double requiredNumber(String name) {
        JsonNode value = table.path(name);
        if (isNonNegativeNumber(value)) {
            return value.asDouble();
        }
        findings.addError("settings need a number of 0 or more at " + path + name + ", which is " + quote(value));
        return 0;
    }

    /** A positive number of seconds, as milliseconds; rejected otherwise. */
    long requiredMillis(String name) {
        double seconds = requiredNumber(name);
        long millis = Math.round(seconds * MILLIS_PER_S);
        if (isNonNegativeNumber(table.path(name)) && millis <= 0) {
            findings.addError("settings need a number over 0 at " + path + name + ", which is " + seconds);
        }
        return millis;
    }

    /** A text that is not empty, or the default. */
    String text(String name, String defaultValue) {
        JsonNode value = table.path(name);
        return isText(value) ? value.asText() : useDefault(name, value, defaultValue);
    }

    /** A text that may be left out; null when it is missing or unusable. */
    String optionalText(String name) {
        return isAbsent(table.path(name)) ? null : text(name, null);
    }

    /** A number of 0 or more, or the default. */
    double number(String name, double defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) ? value.asDouble() : useDefault(name, value, defaultValue);
    }

    /** A number of 0 or more that may be left out; null when it is missing or unusable. */
    Double optionalNumber(String name) {
        JsonNode value = table.path(name);
        if (isAbsent(value) || isNonNegativeNumber(value)) {
            return isAbsent(value) ? null : Double.valueOf(value.asDouble());
        }
        return useDefault(name, value, null);
    }

    /** A positive number, or the default. */
    double positiveNumber(String name, double defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) && value.asDouble() > 0
                ? value.asDouble()
                : useDefault(name, value, defaultValue);
    }

    /** A number of 1 or more without its fraction, or the default. */
    int count(String name, int defaultValue) {
        JsonNode value = table.path(name);
        return isNonNegativeNumber(value) && value.asDouble() >= 1
                ? (int) value.asDouble()
                : useDefault(name, value, defaultValue);
    }

    /** A positive number of seconds, as milliseconds, or the default in milliseconds. */
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
