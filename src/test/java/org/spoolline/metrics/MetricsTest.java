package org.spoolline.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.spoolline.config.Constants;
import org.spoolline.net.FakeEventLoop;

/** Counters, and the word of a leader that starts nothing. */
class MetricsTest {
    private final FakeEventLoop loop = new FakeEventLoop();
    private int looks;

    private StallMonitor.Situation waiting(int jobs) {
        looks++;
        return new StallMonitor.Situation(StallMonitor.Reason.NO_SCHEDULABLE_MACHINE, jobs, 0, 0);
    }

    @Test
    void countersShowWhatHasComeAndNothingElse() {
        Counters counters = new Counters(loop);
        counters.start();
        counters.count(Event.LAUNCH_ORDERED);
        counters.count(Event.TASK_PLACED, 3);
        loop.runTo(loop.now() + 2 * Constants.Logging.COUNTERS_LOG_MS);
        assertEquals(
                "{\"launch_ordered\":1,\"task_placed\":3}", counters.toJson().toString());
        assertEquals(3, counters.of(Event.TASK_PLACED));
    }

    /** On a day without logs, nothing told a leader without machines from one without jobs. */
    @Test
    void aLeaderThatStartsNothingWhileJobsWaitSaysWhyOnceInATime() {
        StallMonitor stalls = new StallMonitor(loop);
        stalls.check(() -> waiting(2));
        assertEquals(0, looks);
        loop.standStill(Constants.Logging.STALL_MS);
        stalls.check(() -> waiting(2));
        stalls.check(() -> waiting(2));
        assertEquals(1, looks);
        assertNotNull(stalls.lastSeen());
        assertEquals(
                StallMonitor.Reason.NO_SCHEDULABLE_MACHINE, stalls.lastSeen().reason());
        stalls.progress();
        assertNull(stalls.lastSeen());
        loop.standStill(Constants.Logging.STALL_MS - 1);
        stalls.check(() -> waiting(2));
        assertEquals(1, looks);
    }

    @Test
    void aLeaderWithoutWaitingJobsIsNotStalled() {
        StallMonitor stalls = new StallMonitor(loop);
        loop.standStill(Constants.Logging.STALL_MS);
        stalls.check(() -> waiting(0));
        assertEquals(1, looks);
        assertNull(stalls.lastSeen());
    }
}
