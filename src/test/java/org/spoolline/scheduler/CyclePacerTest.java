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

/**
 * On a late event loop, the first cycle of a term must not run before the delayed heartbeats are processed, because it
 * would know no machine. The deferral must be bounded, and no other cycle may be deferred.
 */
class CyclePacerTest {
    private static final Settings SETTINGS = new Simulation(1).settings("node-0");
    private static final long LATE_MS = Constants.Cycle.CYCLE_LATE_MS * 3;

    private final FakeEventLoop loop = new FakeEventLoop();
    private final List<Long> cycleTimes = new ArrayList<>();
    private final CyclePacer pacer = new CyclePacer(loop, SETTINGS, () -> cycleTimes.add(loop.now()));

    @Test
    void coalescesRequestsIntoOneCycle() {
        pacer.request(0);
        pacer.request(0);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycleTimes);
    }

    @Test
    void delaysCycleByWriteCountOfLastCycle() {
        pacer.request(Constants.Cycle.CYCLE_FULL_LOAD_WRITES);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMaxMs()), cycleTimes);
    }

    @Test
    void defersFirstCycleOfTermForBoundedTimeWhileLoopIsLate() {
        loop.delayTimersBy(LATE_MS);
        pacer.beginTerm();
        pacer.request(0);
        loop.runAll();
        assertEquals(1, cycleTimes.size());
        long deferredMs = cycleTimes.get(0) - 1_000;
        assertTrue(deferredMs >= SETTINGS.workers().heartbeatMs(), "deferred for " + deferredMs);
        assertTrue(deferredMs < SETTINGS.workers().heartbeatMs() + 10 * LATE_MS, "deferred for " + deferredMs);
    }

    @Test
    void doesNotDeferFirstCycleOfTermOnPunctualLoop() {
        pacer.beginTerm();
        pacer.request(0);
        loop.runAll();
        assertEquals(List.of(1_000 + SETTINGS.operator().cycleMinMs()), cycleTimes);
    }

    @Test
    void doesNotDeferLaterCyclesOnLateLoop() {
        pacer.beginTerm();
        pacer.request(0);
        loop.runAll();
        loop.delayTimersBy(LATE_MS);
        long requestedAt = loop.now();
        pacer.request(0);
        loop.runAll();
        assertEquals(requestedAt + SETTINGS.operator().cycleMinMs() + LATE_MS, cycleTimes.get(1));
    }
}
