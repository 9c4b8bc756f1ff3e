package org.spoolline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.net.Loop;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.world.World;

/** The first cycle of a term leaves a late loop to heartbeats, for a bounded time; no other cycle does. */
class CyclePacerTest {
    private static final Settings SETTINGS = new World(1).settings("node-0");

    /** A loop whose timers fire late by a set time. */
    private static final class LateLoop implements Loop {
        private record Timer(long at, Runnable task) {}

        private final List<Timer> timers = new ArrayList<>();
        private long now = 1_000;
        private long lateMs;

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
            timers.add(new Timer(now + delayMs, task));
        }

        /** Runs timers until none is left. */
        void run() {
            while (!timers.isEmpty()) {
                Timer next =
                        timers.stream().min(Comparator.comparingLong(Timer::at)).orElseThrow();
                timers.remove(next);
                now = Math.max(now, next.at) + lateMs;
                next.task.run();
            }
        }
    }

    private final LateLoop loop = new LateLoop();
    private final List<Long> cycles = new ArrayList<>();
    private final CyclePacer pacer = new CyclePacer(loop, SETTINGS, () -> cycles.add(loop.now()));

    @Test
    void requestsBeforeACycleShareIt() {
        pacer.request(0);
        pacer.request(0);
        loop.run();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycles);
    }

    @Test
    void cyclesWidenWithWhatTheLastOneChanged() {
        pacer.request(Constants.CYCLE_FULL_BATCH);
        loop.run();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMaxMs()), cycles);
    }

    @Test
    void theFirstCycleOfATermIsPutOffWhileTheLoopIsLateButNotForLong() {
        loop.lateMs = Constants.CYCLE_LATE_MS * 3;
        pacer.begin();
        pacer.request(0);
        loop.run();
        assertEquals(1, cycles.size());
        long waited = cycles.get(0) - 1_000;
        assertTrue(waited >= SETTINGS.workers().reportMs(), "put off for " + waited);
        assertTrue(waited < SETTINGS.workers().reportMs() + 10 * loop.lateMs, "put off for " + waited);
    }

    @Test
    void theFirstCycleOfATermRunsAtOnceOnALoopInTime() {
        pacer.begin();
        pacer.request(0);
        loop.run();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycles);
    }

    @Test
    void laterCyclesAreNotPutOff() {
        pacer.begin();
        pacer.request(0);
        loop.run();
        loop.lateMs = Constants.CYCLE_LATE_MS * 3;
        long before = loop.now();
        pacer.request(0);
        loop.run();
        assertEquals(before + SETTINGS.operator().cycleMinMs() + loop.lateMs, cycles.get(1));
    }
}
