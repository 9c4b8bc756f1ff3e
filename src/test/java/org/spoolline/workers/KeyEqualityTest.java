package org.spoolline.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.fleet.RentalPlan;
import org.spoolline.pipeline.Attempt;

/** Equality that is written out by hand must look at every component, as a record's own does. */
class KeyEqualityTest {
    private static void assertAllDiffer(Object one, Object same, List<?> others) {
        assertEquals(one, same);
        assertEquals(one.hashCode(), same.hashCode());
        for (Object other : others) {
            assertNotEquals(one, other);
        }
        assertNotEquals(one, null);
        assertNotEquals(one, "another type");
    }

    @Test
    void attempts() {
        assertAllDiffer(
                new Attempt(1, 2, "m", 3),
                new Attempt(1, 2, new String("m"), 3),
                List.of(
                        new Attempt(0, 2, "m", 3),
                        new Attempt(1, 0, "m", 3),
                        new Attempt(1, 2, "n", 3),
                        new Attempt(1, 2, "m", 0)));
    }

    @Test
    void starts() {
        assertAllDiffer(
                new Machine.Start("u", 1, 2),
                new Machine.Start(new String("u"), 1, 2),
                List.of(new Machine.Start("v", 1, 2), new Machine.Start("u", 0, 2), new Machine.Start("u", 1, 0)));
    }

    @Test
    void taskReports() {
        assertAllDiffer(
                report("u", 1, 2, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, true),
                report("u", 1, 2, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, true),
                List.of(
                        report("v", 1, 2, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, true),
                        report("u", 0, 2, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, true),
                        report("u", 1, 0, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, true),
                        report("u", 1, 2, TaskReport.Phase.RUNNING, TaskReport.Cause.DONE, true),
                        report("u", 1, 2, TaskReport.Phase.EXITED, null, true),
                        report("u", 1, 2, TaskReport.Phase.EXITED, TaskReport.Cause.DONE, false)));
    }

    @Test
    void offers() {
        assertAllDiffer(
                new RentalPlan.Offer("t", "z", true),
                new RentalPlan.Offer("t", "z", true),
                List.of(
                        new RentalPlan.Offer("s", "z", true),
                        new RentalPlan.Offer("t", "y", true),
                        new RentalPlan.Offer("t", "z", false)));
    }

    private static TaskReport report(
            String uid, int task, long attempt, TaskReport.Phase phase, TaskReport.Cause cause, boolean saved) {
        return new TaskReport(uid, task, attempt, phase, cause, saved);
    }
}
