package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
