package org.spoolline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.spoolline.fleet.MachineType;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.world.World;
import org.spoolline.workers.Machine;
import org.spoolline.workers.Report;
import org.spoolline.workers.TaskReport;

/** Who leaves for an urgent gang, and with what grace. */
class PreemptionTest {
    private static final long START = 100_000;

    private final Machine machine = new Machine("m", "small", "a", false, 0);

    private static Pipeline job(String uid, String shape, String urgency, double checkpointS) throws Exception {
        ObjectNode body = Json.object().put("uid", uid).put("lane", "any").put("desk", "blue").put("shape", shape)
                .put("urgency", urgency).put("slips", 1).put("cores", 8).put("accelerators", 0).put("memGb", 1)
                .put("plate", "img").put("imageGb", 1).put("samePlace", false).put("scatter", false)
                .put("standby", true).put("expectS", 100).put("bookmarkS", checkpointS).put("stashS", 4);
        return Pipeline.accept(SubmissionCodec.parse(body), body, World.START_OF_DAY);
    }

    private Placer.Plan planAfter(double ranS) throws Exception {
        Pipeline running = job("run-000001", "batch", "best_effort", 15);
        Attempt attempt = new Attempt(0, 1, "m", 1);
        running.place(attempt);
        machine.accept(new Report("m", "m:9", "small", "a", false, 1, 1, 0, null, List.of(new TaskReport("run-000001", 0,
                1, TaskReport.Phase.RUNNING, null, false))), 16_000, START);
        Pipeline gang = job("run-000002", "group", "urgent", 0);
        MachineType small = new MachineType("small", 8, 0, 64, 20, 1, 0.5, 0.2, 10, List.of("a"));
        return Placer.plan(new Picture(List.of(running, gang), new HashMap<>(), Set.of("run-000001", "run-000002"),
                Map.of("m", machine), List.of(machine), Map.of(), Set.of(), Map.of("small", small),
                new World(1).settings("node-0"), false, World.START_OF_DAY + 1_000, START + (long) (ranS * 1000)));
    }

    private double graceAfter(double ranS) throws Exception {
        Placer.Plan plan = planAfter(ranS);
        assertEquals(1, plan.clearings().size());
        return plan.clearings().get(0).leaving().values().iterator().next();
    }

    @Test
    void aTaskThatHasJustSavedLeavesAtOnce() throws Exception {
        assertEquals(0, graceAfter(33));
    }

    @Test
    void aTaskWithMuchToLoseSavesFirst() throws Exception {
        assertEquals(5, graceAfter(43));
    }
}
