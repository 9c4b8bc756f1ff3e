package org.spoolline.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.net.FakeEventLoop;
import org.spoolline.simulation.Simulation;

/** The first cycle of a term is deferred while the loop is late, for a bounded time; no other cycle is. */
class CyclePacerTest {
    private static final Settings SETTINGS = new Simulation(1).settings("node-0");
    private static final long LATE_MS = Constants.Cycle.CYCLE_LATE_MS * 3;

    private final FakeEventLoop loop = new FakeEventLoop();
    private final List<Long> cycles = new ArrayList<>();
    private final CyclePacer pacer = new CyclePacer(loop, SETTINGS, () -> cycles.add(loop.now()));

    @Test
    void requestsBeforeACycleShareIt() {
        pacer.request(0);
        pacer.request(0);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycles);
    }

    @Test
    void cyclesWidenWithWhatTheLastOneChanged() {
        pacer.request(Constants.Cycle.CYCLE_FULL_LOAD_WRITES);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMaxMs()), cycles);
    }

    @Test
    void theFirstCycleOfATermIsDeferredWhileTheLoopIsLateButNotForLong() {
        loop.lateBy(LATE_MS);
        pacer.begin();
        pacer.request(0);
        loop.runAll();
        assertEquals(1, cycles.size());
        long waited = cycles.get(0) - 1_000;
        assertTrue(waited >= SETTINGS.workers().heartbeatMs(), "deferred for " + waited);
        assertTrue(waited < SETTINGS.workers().heartbeatMs() + 10 * LATE_MS, "deferred for " + waited);
    }

    @Test
    void theFirstCycleOfATermRunsAtOnceOnALoopInTime() {
        pacer.begin();
        pacer.request(0);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycles);
    }

    @Test
    void laterCyclesAreNotDeferred() {
        pacer.begin();
        pacer.request(0);
        loop.runAll();
        loop.lateBy(LATE_MS);
        long before = loop.now();
        pacer.request(0);
        loop.runAll();
        assertEquals(before + SETTINGS.operator().cycleMinMs() + LATE_MS, cycles.get(1));
    }
}
