package org.spoolline.knownfailures;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Disabled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;

/**
 * The tests that are known to fail, read from {@code KNOWN-RED.txt}. Each line has the form
 * {@code class#method | cause | issue N}; blank lines and lines that begin with {@code #} are ignored.
 */
final class KnownFailuresList {
    /** Maximum number of entries, set by the users: further failures have to be fixed. */
    static final int MAX_ENTRIES = 3;

    private static final Path FILE = Path.of("KNOWN-RED.txt");
    private static final int FIELD_COUNT = 3;

    /** A test that is known to fail. */
    record Entry(String className, String methodName, String cause, String issue) {
        /** Returns the test in the form {@code class#method}, as in the file. */
        String test() {
            return className + "#" + methodName;
        }
    }

    private final List<Entry> entries;

    private KnownFailuresList(List<Entry> entries) {
        this.entries = entries;
    }

    /** Reads the list at the root of the repository; empty if there is no such file. */
    static KnownFailuresList read() {
        try {
            return Files.exists(FILE) ? parse(Files.readAllLines(FILE)) : new KnownFailuresList(List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Parses the list; throws {@link IllegalArgumentException} for a line without a test, a cause or an issue. */
    static KnownFailuresList parse(List<String> lines) {
        List<Entry> parsed = new ArrayList<>();
        for (String line : lines) {
            if (!line.isBlank() && !line.startsWith("#")) {
                parsed.add(parseEntry(line));
            }
        }
        return new KnownFailuresList(List.copyOf(parsed));
    }

    private static Entry parseEntry(String line) {
        List<String> fields =
                Arrays.stream(line.split("\\|")).map(String::strip).toList();
        String[] test = fields.get(0).split("#");
        boolean complete = fields.size() == FIELD_COUNT
                && test.length == 2
                && !fields.get(1).isEmpty()
                && fields.get(2).matches("issue [0-9]+");
        if (!complete) {
            throw new IllegalArgumentException("KNOWN-RED.txt: not 'class#method | cause | issue N': " + line);
        }
        return new Entry(test[0], test[1], fields.get(1), fields.get(2));
    }

    /** Returns the entries in file order. */
    List<Entry> entries() {
        return entries;
    }

    /** Returns the entry of a test, or empty if it is not listed. */
    Optional<Entry> find(String className, String methodName) {
        return entries.stream()
                .filter(entry -> entry.className().equals(className)
                        && entry.methodName().equals(methodName))
                .findFirst();
    }

    /** Describes each problem of the list: too many entries, a duplicate, or an entry whose test does not exist. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        if (entries.size() > MAX_ENTRIES) {
            problems.add(entries.size() + " tests are listed, at most " + MAX_ENTRIES + " are allowed");
        }
        Set<String> testNames = new HashSet<>();
        for (Entry entry : entries) {
            if (!testNames.add(entry.test())) {
                problems.add(entry.test() + " is listed twice");
            }
            if (!exists(entry)) {
                problems.add(entry.test() + " is listed but is no test");
            }
        }
        return problems;
    }

    private static boolean exists(Entry entry) {
        try {
            return Arrays.stream(Class.forName(entry.className()).getDeclaredMethods())
                    .filter(method -> method.getName().equals(entry.methodName()))
                    .anyMatch(KnownFailuresList::isTest);
        } catch (ClassNotFoundException e) {
            return false;
        }
    }

    private static boolean isTest(Method method) {
        boolean runs = method.isAnnotationPresent(Test.class) || method.isAnnotationPresent(ParameterizedTest.class);
        return runs && !method.isAnnotationPresent(Disabled.class);
    }
}
