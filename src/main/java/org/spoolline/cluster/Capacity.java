package org.spoolline.cluster;

import org.spoolline.config.Constants;
import org.spoolline.pipeline.Submission;

/**
 * The free capacity of one machine, running or yet to be acquired, during a planning pass. Mutable and confined to the
 * pass that created it. Allocations only affect the plan, not the machine.
 */
public class Capacity {
    private final MachineType type;
    private final String zone;
    private final boolean spot;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** Creates the capacity of a machine without any allocation. */
    public Capacity(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = type.cores();
        this.accelerators = type.accelerators();
        this.memoryGb = type.memoryGb();
    }

    /** Returns an independent copy, for trial allocations. */
    public Capacity copy() {
        Capacity copy = new Capacity(type, zone, spot);
        copy.cores = cores;
        copy.accelerators = accelerators;
        copy.memoryGb = memoryGb;
        return copy;
    }

    /** The machine's type, which defines its total capacity. */
    public MachineType type() {
        return type;
    }

    /** The zone that the machine is in. */
    public String zone() {
        return zone;
    }

    /** True for a spot machine, which the cloud may reclaim. */
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

    /** True when the job's constraints on type, zone and spot allow this machine; free capacity is not checked. */
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

    /** The number of the job's tasks that fit the free capacity. */
    public int freeTasks(Submission job) {
        return MachineType.countTasks(job, cores, accelerators, memoryGb);
    }

    /** Subtracts the resources of one task of the job from the free capacity. */
    public void allocate(Submission job) {
        cores -= job.cores();
        accelerators -= job.accelerators();
        memoryGb -= job.memoryGb();
    }

    /** Adds the resources of one task of the job back to the free capacity. */
    public void release(Submission job) {
        cores += job.cores();
        accelerators += job.accelerators();
        memoryGb += job.memoryGb();
    }
}
