package org.spoolline.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.net.FakeEventLoop;

/** Tests the event counters and the detection of a leader that places no tasks. */
class MetricsTest {
    private final FakeEventLoop loop = new FakeEventLoop();
    private int inspections;

    private StallMonitor.Situation situationWithWaitingJobs(int jobs) {
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

    /** Without the inspection, the log doesn't distinguish a leader without machines from a leader without jobs. */
    @Test
    void inspectsStalledLeaderOncePerStallInterval() {
        StallMonitor stalls = new StallMonitor(loop);
        stalls.check(() -> situationWithWaitingJobs(2));
        assertEquals(0, inspections);
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS);
        stalls.check(() -> situationWithWaitingJobs(2));
        stalls.check(() -> situationWithWaitingJobs(2));
        assertEquals(1, inspections);
        assertEquals(
                StallMonitor.Reason.NO_SCHEDULABLE_MACHINE,
                stalls.lastSituation().orElseThrow().reason());
        stalls.recordPlacement();
        assertEquals(Optional.empty(), stalls.lastSituation());
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS - 1);
        stalls.check(() -> situationWithWaitingJobs(2));
        assertEquals(1, inspections);
    }

    @Test
    void leaderWithoutWaitingJobsIsNotStalled() {
        StallMonitor stalls = new StallMonitor(loop);
        loop.advanceWithoutTimers(Constants.Logging.STALL_MS);
        stalls.check(() -> situationWithWaitingJobs(0));
        assertEquals(1, inspections);
        assertEquals(Optional.empty(), stalls.lastSituation());
    }
}
