package org.spoolline.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.spoolline.autoscaler.ScaleOutPlanner;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/** Guards against a component missing from the handwritten {@code equals} of records that are used as hash keys. */
class KeyEqualityTest {
    private static void assertComparesAllComponents(Object value, Object equalValue, List<?> differentValues) {
        assertEquals(value, equalValue);
        assertEquals(value.hashCode(), equalValue.hashCode());
        for (Object different : differentValues) {
            assertNotEquals(value, different);
        }
        assertNotEquals(value, null);
        assertNotEquals(value, "another type");
    }

    @Test
    void attemptEquality() {
        assertComparesAllComponents(
                new Attempt(1, 2, "m", 3),
                new Attempt(1, 2, new String("m"), 3),
                List.of(
                        new Attempt(0, 2, "m", 3),
                        new Attempt(1, 0, "m", 3),
                        new Attempt(1, 2, "n", 3),
                        new Attempt(1, 2, "m", 0)));
    }

    @Test
    void attemptIdEquality() {
        assertComparesAllComponents(
                new AttemptId("u", 1, 2),
                new AttemptId(new String("u"), 1, 2),
                List.of(new AttemptId("v", 1, 2), new AttemptId("u", 0, 2), new AttemptId("u", 1, 0)));
    }

    @Test
    void taskStatusEquality() {
        assertComparesAllComponents(
                status("u", 1, 2, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, true),
                status("u", 1, 2, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, true),
                List.of(
                        status("v", 1, 2, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, true),
                        status("u", 0, 2, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, true),
                        status("u", 1, 0, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, true),
                        status("u", 1, 2, TaskStatus.Phase.RUNNING, TaskStatus.ExitReason.COMPLETED, true),
                        status("u", 1, 2, TaskStatus.Phase.EXITED, null, true),
                        status("u", 1, 2, TaskStatus.Phase.EXITED, TaskStatus.ExitReason.COMPLETED, false)));
    }

    @Test
    void scaleOutOfferEquality() {
        assertComparesAllComponents(
                new ScaleOutPlanner.Offer("t", "z", true),
                new ScaleOutPlanner.Offer("t", "z", true),
                List.of(
                        new ScaleOutPlanner.Offer("s", "z", true),
                        new ScaleOutPlanner.Offer("t", "y", true),
                        new ScaleOutPlanner.Offer("t", "z", false)));
    }

    private static TaskStatus status(
            String jobId,
            int task,
            long attempt,
            TaskStatus.Phase phase,
            TaskStatus.ExitReason reason,
            boolean checkpointed) {
        return new TaskStatus(jobId, task, attempt, phase, reason, checkpointed);
    }
}
