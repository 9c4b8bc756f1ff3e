package org.spoolline.scheduler;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.SampleSubmissions;
import org.spoolline.pipeline.Submission;
import org.spoolline.pipeline.SubmissionCodec;
import org.spoolline.simulation.Simulation;

/** Machines of one type, and jobs to plan for, in tests of the planners. */
final class SchedulerFixture {
    /** Time at which plans are made, in ms of the event loop's clock. */
    static final long NOW = 160_000;

    private static final long LEASE_MS = 16_000;

    final Map<String, Machine> machines = new LinkedHashMap<>();
    final List<Pipeline> jobs = new ArrayList<>();
    private final Settings settings = new Simulation(1).settings("node-0");
    private final MachineType type;

    SchedulerFixture(double cores) {
        type = new MachineType("type", cores, 0, 64, 20, 1, 1, 0.4, 10, List.of("a"));
    }

    /**
     * Creates a job whose tasks take 4 s to save a checkpoint, and never save one when the checkpoint interval is 0.
     */
    static Pipeline job(
            String jobId,
            String team,
            String shape,
            String urgency,
            int tasks,
            double cores,
            double checkpointIntervalS,
            long acceptedAt)
            throws SubmissionCodec.Malformed {
        ObjectNode body = SampleSubmissions.body(jobId, team, shape, tasks, cores)
                .put("urgency", urgency)
                .put("expectS", 200)
                .put("bookmarkS", checkpointIntervalS)
                .put("stashS", 4);
        return Pipeline.accept(SubmissionCodec.parse(body), body, acceptedAt);
    }

    /** Adds the job and a machine on which the job's only task has run for the given time. */
    Machine addMachineRunning(String name, Pipeline job, double runtimeS) {
        Machine machine = new Machine(name, type.name(), "a", false, 0);
        job.addAttempt(new Attempt(0, 1, name, 1));
        machine.accept(
                new Heartbeat(
                        name,
                        name + ":9",
                        type.name(),
                        "a",
                        false,
                        1,
                        1,
                        0,
                        OptionalDouble.empty(),
                        List.of(new TaskStatus(job.jobId(), 0, 1, TaskStatus.Phase.RUNNING, null, false))),
                LEASE_MS,
                NOW - (long) (runtimeS * 1000));
        machines.put(name, machine);
        jobs.add(job);
        return machine;
    }

    /** Ids of the gangs that have to be placed on few machines. */
    final Set<String> gangsToPack = new HashSet<>();
    /** Highest priority among the dependents of each job, by job id. */
    final Map<String, Submission.Priority> inheritedPriorities = new HashMap<>();

    /** Returns the plan made one minute after the start of the simulated day. */
    SchedulingPlan plan(Set<String> placeableJobs, boolean mayConsolidate) {
        return PlacementPlanner.plan(new ClusterSnapshot(
                jobs,
                Map.of(),
                placeableJobs,
                gangsToPack,
                machines,
                List.copyOf(machines.values()),
                Map.of(),
                Set.of(),
                inheritedPriorities,
                Map.of(type.name(), type),
                settings,
                mayConsolidate,
                Simulation.START_OF_DAY + 60_000,
                NOW));
    }
}
