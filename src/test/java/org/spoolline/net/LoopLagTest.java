package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.spoolline.settings.Constants;

class LoopLagTest {
    private final Deque<Runnable> timers = new ArrayDeque<>();
    private long now = 5_000;
    private final LoopLag lag = new LoopLag(new Loop() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public long timeOfDay() {
            return now;
        }

        @Override
        public void after(long delayMs, Runnable task) {
            timers.add(task);
        }
    });

    /** Seen while the loop is still held up, and until a timer has fired in time again. */
    @Test
    void aLoopIsLateFromWhenItsTimerIsOverdueUntilOneFiresInTime() {
        lag.start();
        assertFalse(lag.isLate());
        now += Constants.LAG_TICK_MS + Constants.MARGIN_MS + 1;
        assertTrue(lag.isLate());
        timers.poll().run();
        assertTrue(lag.isLate());
        now += Constants.LAG_TICK_MS;
        timers.poll().run();
        assertFalse(lag.isLate());
    }
}
