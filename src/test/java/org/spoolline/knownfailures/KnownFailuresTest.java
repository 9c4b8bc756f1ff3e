package org.spoolline.knownfailures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.opentest4j.TestAbortedException;

/** Validation of KNOWN-RED.txt, and the outcome of listed and other tests. */
class KnownFailuresTest {
    private static final String TEST_CLASS = KnownFailuresTest.class.getName();
    private static final String LISTED_TEST = TEST_CLASS + "#listedPassingTestFailsRun";

    private static final Invocation<Void> PASSES = () -> null;
    private static final Invocation<Void> FAILS = () -> {
        throw new AssertionError("broken");
    };

    private static KnownFailuresList listOf(String... lines) {
        return KnownFailuresList.parse(List.of(lines));
    }

    private final List<String> log = new ArrayList<>();

    private KnownFailuresExtension extension() {
        return new KnownFailuresExtension(listOf("# comment", "", LISTED_TEST + " | some cause | issue 7"), log::add);
    }

    @Test
    void repositoryListIsValid() {
        KnownFailuresList list = KnownFailuresList.read();
        list.entries().forEach(entry -> System.out.println("KNOWN-RED.txt: " + entry));
        assertEquals(List.of(), list.problems());
    }

    @Test
    void listedFailingTestIsSkipped() {
        TestAbortedException outcome = assertThrows(
                TestAbortedException.class, () -> extension().run(TEST_CLASS, "listedPassingTestFailsRun", FAILS));
        assertTrue(outcome.getMessage().contains("some cause | issue 7"), outcome.getMessage());
        assertEquals(List.of(outcome.getMessage()), log);
    }

    @Test
    void listedPassingTestFailsRun() {
        assertThrows(AssertionError.class, () -> extension().run(TEST_CLASS, "listedPassingTestFailsRun", PASSES));
    }

    @Test
    void listedParameterizedTestPassesOnlyIfAllCasesPass() throws Throwable {
        String method = "listedPassingTestFailsRun";
        KnownFailuresExtension extension = extension();
        extension.runCase(TEST_CLASS, method, PASSES);
        assertThrows(AssertionError.class, () -> extension.failOnPassedTests(TEST_CLASS));
        extension.failOnPassedTests("org.other.Test");
        assertThrows(TestAbortedException.class, () -> extension.runCase(TEST_CLASS, method, FAILS));
        extension.runCase(TEST_CLASS, method, PASSES);
        extension.failOnPassedTests(TEST_CLASS);
        assertThrows(AssertionError.class, () -> extension.runCase(TEST_CLASS, "unlistedTestKeepsOutcome", FAILS));
    }

    @Test
    void unlistedTestKeepsOutcome() throws Throwable {
        extension().run(TEST_CLASS, "unlistedTestKeepsOutcome", PASSES);
        assertThrows(AssertionError.class, () -> extension().run(TEST_CLASS, "unlistedTestKeepsOutcome", FAILS));
    }

    @Test
    void rejectsInvalidEntries() {
        assertEquals(List.of(), listOf(LISTED_TEST + " | cause | issue 7").problems());
        assertTrue(listOf(TEST_CLASS + "#missing | cause | issue 7")
                .problems()
                .toString()
                .contains("is no test"));
        assertTrue(listOf("org.missing.Test#missing | cause | issue 7")
                .problems()
                .toString()
                .contains("is no test"));
        String line = LISTED_TEST + " | cause | issue 7";
        assertTrue(listOf(line, line).problems().toString().contains("twice"));
        assertTrue(listOf(line, line, line, line).problems().toString().contains("at most 3"));
        for (String incomplete : List.of("Test", LISTED_TEST + " | cause", LISTED_TEST + " | cause | later")) {
            assertThrows(IllegalArgumentException.class, () -> listOf(incomplete));
        }
    }
}
