package org.spoolline.placement;

import org.spoolline.fleet.MachineType;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.workers.Machine;

/** A machine's free room while a plan is made; {@code machine} is null for one that is only to be rented. */
final class Node {
    final Machine machine;
    final MachineType type;
    final String zone;
    final boolean spot;
    double cores;
    double accelerators;
    double memoryGb;
    /** The job for which this machine is being cleared, or null. */
    String reservedFor;

    Node(Machine machine, MachineType type, String zone, boolean spot) {
        this.machine = machine;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = type.cores();
        this.accelerators = type.accelerators();
        this.memoryGb = type.memoryGb();
    }

    boolean allows(Submission job) {
        return (job.types() == null || job.types().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone)) && (job.spot() || !spot);
    }

    /** True when the job may use this machine, room apart. */
    boolean openTo(Pipeline job) {
        return allows(job.spec()) && !job.avoids(machine.name())
                && (reservedFor == null || reservedFor.equals(job.uid()));
    }

    boolean fits(Submission job) {
        return job.cores() <= cores + Constants.EPSILON && job.accelerators() <= accelerators + Constants.EPSILON
                && job.memoryGb() <= memoryGb + Constants.EPSILON;
    }

    void take(Submission job) {
        cores -= job.cores();
        accelerators -= job.accelerators();
        memoryGb -= job.memoryGb();
    }

    void release(Submission job) {
        cores += job.cores();
        accelerators += job.accelerators();
        memoryGb += job.memoryGb();
    }

    /** Seconds until the job's image is here. */
    double fetchS(Submission job) {
        return machine.hasImage(job.image()) ? 0 : job.imageGb() / type.fetchGbPerS();
    }
}
