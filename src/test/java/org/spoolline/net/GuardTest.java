package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.settings.Constants;

class GuardTest {
    private final List<Integer> ends = new ArrayList<>();
    private final Guard guard = new Guard(ends::add);

    @Test
    void anExceptionStopsNothing() {
        assertTrue(guard.run("a task", () -> {}));
        assertFalse(guard.run("a task", () -> {
            throw new IllegalStateException("expected here");
        }));
        assertEquals(List.of(), ends);
    }

    /** A class that could not be loaded once left a leader that answered check-ins and decided nothing. */
    @Test
    void anErrorEndsTheProcess() {
        assertFalse(guard.run("a task", () -> {
            throw new NoClassDefFoundError("expected here");
        }));
        assertEquals(List.of(Constants.EXIT_ERROR), ends);
    }
}
