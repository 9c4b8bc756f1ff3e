package org.spoolline.cluster;

import org.spoolline.config.Constants;
import org.spoolline.pipeline.Submission;

/** Free room on a machine, there or to come, while a plan is made. */
public class Capacity {
    public final MachineType type;
    public final String zone;
    public final boolean spot;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** An empty machine. */
    public Capacity(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = type.cores();
        this.accelerators = type.accelerators();
        this.memoryGb = type.memoryGb();
    }

    /** The same room, to try something out on. */
    public Capacity copy() {
        Capacity copy = new Capacity(type, zone, spot);
        copy.cores = cores;
        copy.accelerators = accelerators;
        copy.memoryGb = memoryGb;
        return copy;
    }

    public double cores() {
        return cores;
    }

    public double memoryGb() {
        return memoryGb;
    }

    /** True when the job may run here, room apart. */
    public boolean permits(Submission job) {
        return (job.machineTypes() == null || job.machineTypes().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone))
                && (job.allowsSpot() || !spot);
    }

    public boolean fits(Submission job) {
        return job.cores() <= cores + Constants.Placement.EPSILON
                && job.accelerators() <= accelerators + Constants.Placement.EPSILON
                && job.memoryGb() <= memoryGb + Constants.Placement.EPSILON;
    }

    public void allocate(Submission job) {
        cores -= job.cores();
        accelerators -= job.accelerators();
        memoryGb -= job.memoryGb();
    }

    public void release(Submission job) {
        cores += job.cores();
        accelerators += job.accelerators();
        memoryGb += job.memoryGb();
    }
}
