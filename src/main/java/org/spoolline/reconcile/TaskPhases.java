package org.spoolline.reconcile;

import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/** The phases of attempts according to the last heartbeats of their machines. */
public final class TaskPhases {
    private final MachineRegistry machines;

    /** Creates a view of the phases of all attempts on these machines. */
    public TaskPhases(MachineRegistry machines) {
        this.machines = machines;
    }

    /**
     * The attempt's phase in the last heartbeat of its machine; FETCHING_IMAGE if that heartbeat does not list the
     * attempt or the machine is unknown.
     */
    public TaskStatus.Phase lastReported(String jobId, Attempt attempt) {
        Machine machine = machines.get(attempt.machine());
        TaskStatus status = machine == null ? null : machine.tasks().get(AttemptId.of(jobId, attempt));
        return status == null ? TaskStatus.Phase.FETCHING_IMAGE : status.phase();
    }
}
