package org.spoolline.reconcile;

import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/** The phases of tasks as of their machines' last heartbeats. */
public final class TaskPhases {
    private final MachineRegistry machines;

    /** Phases of tasks on these machines. */
    public TaskPhases(MachineRegistry machines) {
        this.machines = machines;
    }

    /** The last phase reported of an attempt; one that was not reported yet counts as fetching its image. */
    public TaskStatus.Phase lastReported(String jobId, Attempt attempt) {
        Machine machine = machines.get(attempt.machine());
        TaskStatus status = machine == null ? null : machine.tasks().get(AttemptId.of(jobId, attempt));
        return status == null ? TaskStatus.Phase.FETCHING_IMAGE : status.phase();
    }
}
