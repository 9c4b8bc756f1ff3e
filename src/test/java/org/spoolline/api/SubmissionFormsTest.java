package org.spoolline.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spoolline.config.SettingsException;

/** Tests which spellings of a submission are accepted, and which bodies are rejected as malformed. */
class SubmissionFormsTest {
    private static final String ACCEPTED = "201 {\"uid\":\"run-1\",\"status\":\"pending\"}";

    private JobApiFixture fixture;
    private final List<String> failures = new ArrayList<>();

    @BeforeEach
    void createFixture() throws SettingsException {
        fixture = JobApiFixture.ready();
    }

    /** The fields of a sound submission, each with its JSON. */
    private static Map<String, String> fields() {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("uid", "\"run-1\"");
        fields.put("lane", "\"train\"");
        fields.put("desk", "\"t\"");
        fields.put("shape", "\"batch\"");
        fields.put("urgency", "\"standard\"");
        fields.put("slips", "2");
        fields.put("cores", "1.0");
        fields.put("accelerators", "0.0");
        fields.put("memGb", "1.0");
        fields.put("plate", "\"img\"");
        fields.put("imageGb", "1.0");
        fields.put("builds", "null");
        fields.put("yard", "null");
        fields.put("samePlace", "false");
        fields.put("scatter", "false");
        fields.put("standby", "true");
        fields.put("expectS", "1.0");
        fields.put("bookmarkS", "0.0");
        fields.put("stashS", "0.0");
        fields.put("dueS", "null");
        return fields;
    }

    private static String json(Map<String, String> fields) {
        List<String> members = new ArrayList<>();
        fields.forEach((name, value) -> members.add("\"" + name + "\":" + value));
        return "{" + String.join(",", members) + "}";
    }

    private static String with(String name, String value) {
        Map<String, String> fields = fields();
        fields.put(name, value);
        return json(fields);
    }

    private static String reversed() {
        List<String> names = new ArrayList<>(fields().keySet());
        Collections.reverse(names);
        Map<String, String> reversed = new LinkedHashMap<>();
        names.forEach(name -> reversed.put(name, fields().get(name)));
        return json(reversed);
    }

    private void check(String body, String expected) throws SettingsException {
        checkBytes(body, body.getBytes(StandardCharsets.UTF_8), expected);
    }

    private void checkBytes(String form, byte[] body, String expected) throws SettingsException {
        createFixture();
        String response;
        try {
            response = fixture.request("POST", "/submissions", body);
        } catch (RuntimeException e) {
            response = e.toString();
        }
        if (!response.startsWith(expected)) {
            failures.add(form.substring(0, Math.min(form.length(), 500)) + " -> " + response);
        }
    }

    @Test
    void acceptsEverySpellingThatJsonAllows() throws SettingsException {
        check(json(fields()), ACCEPTED);
        check(reversed(), ACCEPTED);
        check(" \t\r\n" + json(fields()).replace(",", " ,\n\t").replace(":", " : ") + "\r\n ", ACCEPTED);
        check(json(fields()).replace("\"uid\"", "\"\\u0075\\u0069d\""), ACCEPTED);
        check(json(fields()).replace("run-1", "\\u0072un\\u002D1"), ACCEPTED);
        for (String name : List.of("builds", "yard", "dueS")) {
            Map<String, String> fields = fields();
            fields.remove(name);
            check(json(fields), ACCEPTED);
        }
        for (String tasks : List.of("2", "2.0", "2e0", "20e-1", "0.2E+1", "200000000000000000000e-20")) {
            check(with("slips", tasks), ACCEPTED);
        }
        for (String amount : List.of("1", "1.0", "1e0", "1E+0", "10e-1", "0.1e1", "1." + "0".repeat(2_000), "1e-400")) {
            check(with("memGb", amount), ACCEPTED);
        }
        check(with("accelerators", "-0"), ACCEPTED);
        check(with("accelerators", "-0.0"), ACCEPTED);
        check(with("plate", "\"img/\\u00fc\\\"\\\\\\/\\ud83d\\ude00\""), ACCEPTED);
        check(with("plate", "\"\u00fc\ud83d\ude00\""), ACCEPTED);
        check(with("plate", "\"\\ud83d\""), ACCEPTED);
        check(with("plate", "\"\\udc00\\ud83d\""), ACCEPTED);
        assertEquals(List.of(), failures);
    }

    @Test
    void ignoresUnknownFieldsOfAnyForm() throws SettingsException {
        for (String value : List.of(
                "null",
                "true",
                "-1.5e-300",
                "1e999",
                "\"\"",
                "[]",
                "{}",
                "[[],{}]",
                "{\"uid\":\"run-2\"}",
                "\"\\ud83d\"")) {
            check(with("odd", value), ACCEPTED);
            check("{\"odd\":" + value + "," + json(fields()).substring(1), ACCEPTED);
        }
        check(with("", "1"), ACCEPTED);
        check(with("UID", "\"run-2\""), ACCEPTED);
        check(with("odd\":1,\"odd", "2"), ACCEPTED);
        check(with("n".repeat(60_000), "1"), ACCEPTED);
        check(with("odd", "7".repeat(60_000)), ACCEPTED);
        check(with("odd", "[".repeat(30_000) + "]".repeat(30_000)), ACCEPTED);
        assertEquals(List.of(), failures);
    }

    @Test
    void rejectsBodiesThatAreNotExactlyOneJsonObject() throws SettingsException {
        String job = json(fields());
        for (int length = 0; length < job.length(); length++) {
            check(job.substring(0, length), "400");
        }
        for (String body : List.of(
                job + "}",
                job + job,
                job + ",",
                job + " odd",
                job + "\u0000",
                "[" + job + "]",
                "odd " + job,
                job.replace("\"uid\"", "uid"),
                job.replace("\"uid\"", "'uid'"),
                job.replace("}", ",}"),
                job.replace("{", "{,"),
                job.replaceFirst(":", ""),
                job.replaceFirst(",", ""),
                job.replaceFirst(":", "="),
                "/* odd */" + job,
                job + "// odd",
                with("odd", "NaN"),
                with("odd", "Infinity"),
                with("odd", "01"),
                with("odd", "+1"),
                with("odd", "1."),
                with("odd", ".5"),
                with("odd", "1e"),
                with("odd", "-"),
                with("odd", "0x1"),
                with("odd", "TRUE"),
                with("odd", "nulll"),
                with("odd", "\"\n\""),
                with("odd", "\"\\x\""),
                with("odd", "\"\\u12\""),
                with("odd", "[1,]"),
                with("odd", "[1 2]"),
                with("odd", "{\"a\"}"),
                with("odd", "[}"))) {
            check(body, "400");
        }
        checkBytes("invalid UTF-8", (with("odd", "\"\u00ff\"")).getBytes(StandardCharsets.ISO_8859_1), "400");
        assertEquals(List.of(), failures);
    }

    @Test
    void rejectsInvalidFieldsWhereverTheyAre() throws SettingsException {
        List<String> invalid = List.of("true", "\"odd\"", "-1", "[]", "{}", "[1]", "{\"a\":1}", "1e999");
        for (String name :
                List.of("slips", "cores", "accelerators", "memGb", "imageGb", "expectS", "bookmarkS", "stashS")) {
            for (String value : invalid) {
                check(with(name, value), "400");
            }
        }
        for (String value : List.of("0", "1.5", "100001", "-2", "2e-1", "1e6", "18446744073709551616", "\"2\"")) {
            check(with("slips", value), "400");
        }
        for (String name : List.of("uid", "lane", "desk", "shape", "urgency", "plate")) {
            for (String value : List.of("1", "true", "null", "[]", "{}", "\"\"", "[\"odd\"]")) {
                check(with(name, value), "400");
            }
        }
        for (String name : List.of("samePlace", "scatter", "standby")) {
            for (String value : List.of("1", "0", "\"true\"", "null", "[]")) {
                check(with(name, value), "400");
            }
        }
        for (String value : List.of("\"RUN-1\"", "\"run-\"", "\"run-1 \"", "\"run-1\\n\"", "\"run-\u0661\"")) {
            check(with("uid", value), "400");
        }
        assertEquals(List.of(), failures);
    }
}
