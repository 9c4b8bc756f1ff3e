package org.spoolline.scheduler;

import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** A machine that takes work, with its free room while a plan is made. */
final class SchedulableMachine extends Capacity {
    final Machine machine;
    private String reservedFor;

    SchedulableMachine(Machine machine, MachineType type, String reservedFor) {
        super(type, machine.zone(), machine.spot());
        this.machine = machine;
        this.reservedFor = reservedFor;
    }

    /** The job for which this machine is being cleared, or null. */
    String reservedFor() {
        return reservedFor;
    }

    /** From now on it takes no other job. */
    void reserve(String jobId) {
        reservedFor = jobId;
    }

    /** Share of its cores that is in use. */
    double utilization() {
        return 1 - cores() / type.cores();
    }

    /** True when the job may use this machine, room apart. */
    boolean accepts(Pipeline job) {
        return permits(job.spec())
                && !job.avoids(machine.name())
                && (reservedFor == null || reservedFor.equals(job.jobId()));
    }

    /** Seconds until the job's image is here. */
    double imageFetchS(Submission job) {
        return machine.hasImage(job.image()) ? 0 : job.imageGb() / type.fetchGbPerS();
    }
}
