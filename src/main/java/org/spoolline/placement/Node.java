package org.spoolline.placement;

import org.spoolline.fleet.MachineType;
import org.spoolline.fleet.Room;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.workers.Machine;

/** A machine that takes work, with its free room while a plan is made. */
final class Node extends Room {
    final Machine machine;
    private String reservedFor;

    Node(Machine machine, MachineType type, String reservedFor) {
        super(type, machine.zone(), machine.spot());
        this.machine = machine;
        this.reservedFor = reservedFor;
    }

    /** The job for which this machine is being cleared, or null. */
    String reservedFor() {
        return reservedFor;
    }

    /** From now on it takes no other job. */
    void reserve(String uid) {
        reservedFor = uid;
    }

    /** Share of its cores that is in use. */
    double usedShare() {
        return 1 - cores() / type.cores();
    }

    /** True when the job may use this machine, room apart. */
    boolean openTo(Pipeline job) {
        return allows(job.spec())
                && !job.avoids(machine.name())
                && (reservedFor == null || reservedFor.equals(job.uid()));
    }

    /** Seconds until the job's image is here. */
    double fetchS(Submission job) {
        return machine.hasImage(job.image()) ? 0 : job.imageGb() / type.fetchGbPerS();
    }
}
