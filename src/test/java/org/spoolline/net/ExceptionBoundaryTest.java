package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;

/** Tests that an exception of a task is contained, and that an error ends the process. */
class ExceptionBoundaryTest {
    private final List<Integer> exitCodes = new ArrayList<>();
    private final ExceptionBoundary boundary = new ExceptionBoundary(exitCodes::add);

    @Test
    void exceptionDoesNotEndProcess() {
        assertTrue(boundary.run("a task", () -> {}));
        assertFalse(boundary.run("a task", () -> {
            throw new IllegalStateException("expected here");
        }));
        assertEquals(List.of(), exitCodes);
    }

    /** A trace of a thousand lines is cut where logs are kept, and the line that names the error with it. */
    @Test
    void stackOfRecursionIsShort() {
        StackOverflowError error = assertThrows(StackOverflowError.class, ExceptionBoundaryTest::recurse);
        String stack = ExceptionBoundary.stackOf(new IllegalStateException("expected here", error));
        assertEquals(1, stack.lines().count());
        assertTrue(stack.contains("ExceptionBoundaryTest.recurse"), stack);
        assertTrue(stack.contains("cause=java.lang.StackOverflowError"), stack);
        assertTrue(stack.length() < 10_000, "characters: " + stack.length());
    }

    private static int recurse() {
        return 1 + recurse();
    }

    /**
     * A process that survives an error, such as a class that can't be loaded, may answer heartbeats as the leader
     * although all of its scheduling cycles fail.
     */
    @Test
    void errorEndsProcess() {
        assertFalse(boundary.run("a task", () -> {
            throw new NoClassDefFoundError("expected here");
        }));
        assertEquals(List.of(Constants.Process.EXIT_ERROR), exitCodes);
    }
}
