package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;

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

    /** A class that could not be loaded once left a leader that answered heartbeats and decided nothing. */
    @Test
    void errorEndsProcess() {
        assertFalse(boundary.run("a task", () -> {
            throw new NoClassDefFoundError("expected here");
        }));
        assertEquals(List.of(Constants.Process.EXIT_ERROR), exitCodes);
    }
}
