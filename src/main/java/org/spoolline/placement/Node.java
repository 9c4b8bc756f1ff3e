package org.spoolline.placement;

import org.spoolline.fleet.MachineType;
import org.spoolline.pipeline.Submission;
import org.spoolline.workers.Machine;

/** A machine's free room while a plan is made; {@code machine} is null for one that is only to be rented. */
final class Node {
    private static final double EPSILON = 1e-6;
    final Machine machine;
    final MachineType type;
    final String zone;
    final boolean spot;
    double cores;
    double accelerators;
    double memoryGb;

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

    boolean fits(Submission job) {
        return job.cores() <= cores + EPSILON && job.accelerators() <= accelerators + EPSILON
                && job.memoryGb() <= memoryGb + EPSILON;
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

    boolean hasImage(String image) {
        return machine != null && machine.hasImage(image);
    }
}
