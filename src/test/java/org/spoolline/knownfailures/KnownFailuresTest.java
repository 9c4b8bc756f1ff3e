package org.spoolline.knownfailures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.opentest4j.TestAbortedException;

/** The list of known failures, and the outcome of the tests on it. */
class KnownFailuresTest {
    private static final String THIS = KnownFailuresTest.class.getName();
    private static final String LISTED_TEST = THIS + "#listedTestsThatPassFailTheRun";

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
    void theListOfThisRepositoryIsValid() {
        KnownFailuresList list = KnownFailuresList.read();
        list.entries().forEach(entry -> System.out.println("KNOWN-RED.txt: " + entry));
        assertEquals(List.of(), list.problems());
    }

    @Test
    void listedTestsThatFailAreNotCountedAsPassed() {
        TestAbortedException outcome = assertThrows(
                TestAbortedException.class, () -> extension().run(THIS, "listedTestsThatPassFailTheRun", FAILS));
        assertTrue(outcome.getMessage().contains("some cause | issue 7"), outcome.getMessage());
        assertEquals(List.of(outcome.getMessage()), log);
    }

    @Test
    void listedTestsThatPassFailTheRun() {
        assertThrows(AssertionError.class, () -> extension().run(THIS, "listedTestsThatPassFailTheRun", PASSES));
    }

    @Test
    void listedParameterizedTestsPassOnlyWhenNoCaseFails() throws Throwable {
        String method = "listedTestsThatPassFailTheRun";
        KnownFailuresExtension extension = extension();
        extension.runCase(THIS, method, PASSES);
        assertThrows(AssertionError.class, () -> extension.failOnPassedTests(THIS));
        extension.failOnPassedTests("org.other.Test");
        assertThrows(TestAbortedException.class, () -> extension.runCase(THIS, method, FAILS));
        extension.runCase(THIS, method, PASSES);
        extension.failOnPassedTests(THIS);
        assertThrows(AssertionError.class, () -> extension.runCase(THIS, "otherTestsKeepTheirOutcome", FAILS));
    }

    @Test
    void otherTestsKeepTheirOutcome() throws Throwable {
        extension().run(THIS, "otherTestsKeepTheirOutcome", PASSES);
        assertThrows(AssertionError.class, () -> extension().run(THIS, "otherTestsKeepTheirOutcome", FAILS));
    }

    @Test
    void entriesWithoutATestACauseOrAnIssueAreRejected() {
        assertEquals(List.of(), listOf(LISTED_TEST + " | cause | issue 7").problems());
        assertTrue(listOf(THIS + "#missing | cause | issue 7")
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
