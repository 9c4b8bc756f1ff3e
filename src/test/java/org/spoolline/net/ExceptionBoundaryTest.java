package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;

class ExceptionBoundaryTest {
    private final List<Integer> ends = new ArrayList<>();
    private final ExceptionBoundary boundary = new ExceptionBoundary(ends::add);

    @Test
    void anExceptionStopsNothing() {
        assertTrue(boundary.run("a task", () -> {}));
        assertFalse(boundary.run("a task", () -> {
            throw new IllegalStateException("expected here");
        }));
        assertEquals(List.of(), ends);
    }

    /** A class that could not be loaded once left a leader that answered check-ins and decided nothing. */
    @Test
    void anErrorEndsTheProcess() {
        assertFalse(boundary.run("a task", () -> {
            throw new NoClassDefFoundError("expected here");
        }));
        assertEquals(List.of(Constants.Process.EXIT_ERROR), ends);
    }
}
