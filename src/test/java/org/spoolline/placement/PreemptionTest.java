package org.spoolline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
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

/** Who leaves for others, and with what grace. */
class PreemptionTest {
    private static final long START = 100_000;
    private static final MachineType SMALL = new MachineType("small", 8, 0, 64, 20, 1, 0.5, 0.2, 10, List.of("a"));

    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Pipeline> jobs = new ArrayList<>();

    private static Pipeline job(String uid, String team, String shape, String urgency, double checkpointS) throws Exception {
        ObjectNode body = Json.object().put("uid", uid).put("lane", "any").put("desk", team).put("shape", shape)
                .put("urgency", urgency).put("slips", 1).put("cores", 8).put("accelerators", 0).put("memGb", 1)
                .put("plate", "img").put("imageGb", 1).put("samePlace", false).put("scatter", false)
                .put("standby", true).put("expectS", 100).put("bookmarkS", checkpointS).put("stashS", 4);
        return Pipeline.accept(SubmissionCodec.parse(body), body, World.START_OF_DAY);
    }

    /** A machine that a task with checkpoints fills, which is first seen to run at that moment. */
    private void filled(String name, long since) throws Exception {
        Machine machine = new Machine(name, "small", "a", false, 0);
        Pipeline running = job("run-00000" + machines.size(), "red", "batch", "best_effort", 15);
        running.place(new Attempt(0, 1, name, 1));
        machine.accept(new Report(name, name + ":9", "small", "a", false, 1, 1, 0, null, List.of(new TaskReport(
                running.uid(), 0, 1, TaskReport.Phase.RUNNING, null, false))), 16_000, since);
        machines.put(name, machine);
        jobs.add(running);
    }

    private Placer.Clearing clearingFor(Pipeline job) throws Exception {
        jobs.add(job);
        Placer.Plan plan = Placer.plan(new Picture(jobs, new HashMap<>(), Set.of(job.uid()), machines,
                List.copyOf(machines.values()), Map.of(), Set.of(), Map.of("small", SMALL),
                new World(1).settings("node-0"), false, World.START_OF_DAY + 1_000, START));
        assertEquals(1, plan.clearings().size());
        return plan.clearings().get(0);
    }

    @Test
    void aTaskThatHasJustSavedLeavesAtOnce() throws Exception {
        filled("m", START - 33_000);
        Placer.Clearing clearing = clearingFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(0.0), List.copyOf(clearing.leaving().values()));
    }

    @Test
    void aTaskWithMuchToLoseSavesFirst() throws Exception {
        filled("m", START - 43_000);
        Placer.Clearing clearing = clearingFor(job("run-000009", "blue", "group", "urgent", 0));
        assertEquals(List.of(5.0), List.copyOf(clearing.leaving().values()));
    }

    @Test
    void anArrayWithinItsGuaranteeTakesRoomWhereLeastIsLost() throws Exception {
        // The first two are within their own team's guarantee.
        filled("k", START - 30_000);
        filled("l", START - 30_000);
        filled("m", START - 40_000);
        filled("n", START - 31_000);
        filled("o", START - 42_000);
        assertEquals(Set.of("n"), clearingFor(job("run-000009", "blue", "batch", "standard", 0)).machines());
    }
}
