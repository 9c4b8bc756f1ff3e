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
import org.spoolline.workers.Machine;
import org.spoolline.workers.Report;
import org.spoolline.workers.TaskReport;
import org.spoolline.world.World;

/** Which machines are emptied in favour of others once nothing waits. */
class ConsolidationTest {
    private static final long START = 100_000;
    private static final MachineType TYPE = new MachineType("big", 16, 0, 64, 20, 1, 1, 0.4, 10, List.of("a"));

    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final List<Pipeline> jobs = new ArrayList<>();

    private static Pipeline job(String uid, int tasks, double cores, double checkpointS, long acceptedAt)
            throws Exception {
        ObjectNode body = Json.object().put("uid", uid).put("lane", "any").put("desk", "blue").put("shape", "batch")
                .put("urgency", "standard").put("slips", tasks).put("cores", cores).put("accelerators", 0)
                .put("memGb", 1).put("plate", "img").put("imageGb", 1).put("samePlace", false).put("scatter", false)
                .put("standby", true).put("expectS", 200).put("bookmarkS", checkpointS).put("stashS", 4);
        return Pipeline.accept(SubmissionCodec.parse(body), body, acceptedAt);
    }

    /** A machine on which one task of a job of its own has run for a minute. */
    private void machineWith(String name, double cores, double checkpointS) throws Exception {
        Machine machine = new Machine(name, "big", "a", false, 0);
        Pipeline job = job("run-00000" + machines.size(), 1, cores, checkpointS, World.START_OF_DAY);
        job.place(new Attempt(0, 1, name, 1));
        machine.accept(new Report(name, name + ":9", "big", "a", false, 1, 1, 0, null, List.of(new TaskReport(job.uid(),
                0, 1, TaskReport.Phase.RUNNING, null, false))), 16_000, START);
        machine.useImage("img", 1, 20);
        machines.put(name, machine);
        jobs.add(job);
    }

    private Set<String> vacated(boolean mayVacate) throws Exception {
        return Placer.plan(new Picture(jobs, new HashMap<>(), Set.of(), machines, List.copyOf(machines.values()),
                Map.of(), Set.of(), Map.of("big", TYPE), new World(1).settings("node-0"), mayVacate,
                World.START_OF_DAY + 60_000, START + 60_000)).vacated();
    }

    @Test
    void workThatSavesMovesToMachinesThatStayInUse() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 15);
        machineWith("sparse-too", 4, 15);
        assertEquals(Set.of("sparse"), vacated(true));
        assertEquals(Set.of(), vacated(false));
    }

    @Test
    void workThatWouldStartOverStays() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 0);
        assertEquals(Set.of(), vacated(true));
    }

    /** Or the next job would have to wait for a boot. */
    @Test
    void roomForWhatJobsHaveAskedForLatelyStays() throws Exception {
        machineWith("full", 12, 0);
        machineWith("sparse", 4, 15);
        Pipeline over = job("run-000009", 4, 4, 0, World.START_OF_DAY + 50_000);
        over.cancel();
        jobs.add(over);
        assertEquals(Set.of(), vacated(true));
    }
}
