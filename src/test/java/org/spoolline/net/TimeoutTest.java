package org.spoolline.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.XnioExecutor;

/** Tests timeouts on an event loop whose timers fire late by an amount that the test sets. */
class TimeoutTest {
    private final List<Runnable> timers = new ArrayList<>();
    private final List<Long> delays = new ArrayList<>();
    private long now;
    private int expired;
    private final XnioExecutor loop = new XnioExecutor() {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public Key executeAfter(Runnable task, long time, TimeUnit unit) {
            timers.add(task);
            delays.add(unit.toMillis(time));
            return () -> timers.remove(task);
        }

        @Override
        public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
            throw new UnsupportedOperationException();
        }
    };

    private void fire(long at) {
        now = at;
        timers.remove(0).run();
    }

    @Test
    void punctualTimerEndsCall() {
        new Timeout(loop, () -> now, 1_000, () -> expired++);
        fire(1_010);
        assertEquals(1, expired);
        assertEquals(List.of(), timers);
    }

    /**
     * A response that arrived while the loop was busy must be read before the call times out; it cancels the timeout.
     */
    @Test
    void lateTimerLetsLoopReadNetworkFirst() {
        Timeout timeout = new Timeout(loop, () -> now, 1_000, () -> expired++);
        fire(2_200);
        assertEquals(0, expired);
        assertEquals(List.of(1_000L, 1_200L), delays);
        timeout.cancel();
        assertEquals(List.of(), timers);
    }

    @Test
    void lateTimerEndsCallWithoutResponse() {
        new Timeout(loop, () -> now, 1_000, () -> expired++);
        fire(60_000);
        assertEquals(2_000L, delays.get(1));
        fire(63_000);
        assertEquals(1, expired);
    }
}
