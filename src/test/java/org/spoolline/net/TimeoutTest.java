package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.settings.Constants;

/** Calls on a loop whose lateness the test decides. */
class TimeoutTest {
    private final HandLoop loop = new HandLoop();
    private final long start = loop.now;
    private int expired;

    private Timeout call() {
        return new Timeout(loop, () -> loop.now, 1_000, () -> expired++);
    }

    @Test
    void aTimerInTimeGivesTheCallUp() {
        call();
        loop.turn(start + 1_010);
        assertEquals(1, expired);
        assertTrue(loop.idle());
    }

    /** An answer that was there before the late timer is read in between, and cancels it. */
    @Test
    void aLateTimerWaitsForTheNetworkOnceMore() {
        Timeout timeout = call();
        loop.turn(start + 2_200);
        assertEquals(0, expired);
        assertEquals(List.of(1_000L, 1_200L), loop.delays);
        timeout.cancel();
        assertTrue(loop.idle());
    }

    @Test
    void aCallWithoutAnswerIsGivenUpAllTheSame() {
        call();
        loop.turn(start + 60_000);
        assertEquals(Constants.LATE_GRACE_MS, loop.delays.get(1));
        loop.turn(start + 63_000);
        assertEquals(1, expired);
    }
}
