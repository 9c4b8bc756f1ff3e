package org.spoolline.cluster;

import org.spoolline.config.Constants;
import org.spoolline.pipeline.Submission;

/**
 * The free capacity of one machine during a planning pass. The machine may be running or still to be acquired. Mutable
 * and confined to the pass that created it; nothing is allocated on the machine itself.
 */
public class Capacity {
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** The capacity of an empty machine. */
    public Capacity(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = type.cores();
        this.accelerators = type.accelerators();
        this.memoryGb = type.memoryGb();
    }

    /** An independent copy, for a trial allocation. */
    public Capacity copy() {
        Capacity copy = new Capacity(type, zone, spot);
        copy.cores = cores;
        copy.accelerators = accelerators;
        copy.memoryGb = memoryGb;
        return copy;
    }

    /** The machine's type, which bounds this capacity. */
    public MachineType type() {
        return type;
    }

    /** The zone that the machine is in. */
    public String zone() {
        return zone;
    }

    /** True for a spot machine, which the cloud may take back. */
    public boolean spot() {
        return spot;
    }

    /** Free cores. */
    public double cores() {
        return cores;
    }

    /** Free memory in GB. */
    public double memoryGb() {
        return memoryGb;
    }

    /** True when the job's constraints on machine type, zone and spot allow this machine, whatever is free on it. */
    public boolean permits(Submission job) {
        return (job.machineTypes() == null || job.machineTypes().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone))
                && (job.allowsSpot() || !spot);
    }

    /** True when one task of the job fits the free capacity. */
    public boolean fits(Submission job) {
        return job.cores() <= cores + Constants.Placement.EPSILON
                && job.accelerators() <= accelerators + Constants.Placement.EPSILON
                && job.memoryGb() <= memoryGb + Constants.Placement.EPSILON;
    }

    /** Takes the resources of one task of the job. */
    public void allocate(Submission job) {
        cores -= job.cores();
        accelerators -= job.accelerators();
        memoryGb -= job.memoryGb();
    }

    /** Returns the resources of one task of the job. */
    public void release(Submission job) {
        cores += job.cores();
        accelerators += job.accelerators();
        memoryGb += job.memoryGb();
    }
}
