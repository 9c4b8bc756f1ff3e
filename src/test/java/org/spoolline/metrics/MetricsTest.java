package org.spoolline.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.net.FakeEventLoop;

/** Counters, and the reason that a leader which places nothing logs. */
class MetricsTest {
    private final FakeEventLoop loop = new FakeEventLoop();
    private int inspections;

    private StallMonitor.Situation waiting(int jobs) {
        inspections++;
        return new StallMonitor.Situation(StallMonitor.Reason.NO_SCHEDULABLE_MACHINE, jobs, 0, 0);
    }

    @Test
    void countersOmitEventsThatHaveNotOccurred() {
        Counters counters = new Counters(loop);
        counters.start();
        counters.count(Event.LAUNCH_ORDERED);
        counters.count(Event.TASK_PLACED, 3);
        loop.runTo(loop.now() + 2 * Constants.Logging.COUNTERS_LOG_MS);
        assertEquals(
                "{\"launch_ordered\":1,\"task_placed\":3}", counters.toJson().toString());
        assertEquals(3, counters.get(Event.TASK_PLACED));
    }

    /** Without this, a leader without machines can't be distinguished from one without jobs. */
    @Test
    void inspectsStalledLeaderOncePerStallInterval() {
        StallMonitor stalls = new StallMonitor(loop);
        stalls.check(() -> waiting(2));
        assertEquals(0, inspections);
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS);
        stalls.check(() -> waiting(2));
        stalls.check(() -> waiting(2));
        assertEquals(1, inspections);
        assertEquals(
                StallMonitor.Reason.NO_SCHEDULABLE_MACHINE,
                stalls.lastSituation().orElseThrow().reason());
        stalls.recordPlacement();
        assertEquals(Optional.empty(), stalls.lastSituation());
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS - 1);
        stalls.check(() -> waiting(2));
        assertEquals(1, inspections);
    }

    @Test
    void leaderWithoutWaitingJobsIsNotStalled() {
        StallMonitor stalls = new StallMonitor(loop);
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS);
        stalls.check(() -> waiting(0));
        assertEquals(1, inspections);
        assertEquals(Optional.empty(), stalls.lastSituation());
    }
}
