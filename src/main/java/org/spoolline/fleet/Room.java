package org.spoolline.fleet;

import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;

/** Free room on a machine, there or to come, while a plan is made. */
public class Room {
    public final MachineType type;
    public final String zone;
    public final boolean spot;
    private double cores;
    private double accelerators;
    private double memoryGb;

    /** An empty machine. */
    public Room(MachineType type, String zone, boolean spot) {
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.cores = type.cores();
        this.accelerators = type.accelerators();
        this.memoryGb = type.memoryGb();
    }

    /** The same room, to try something out on. */
    public Room copy() {
        Room copy = new Room(type, zone, spot);
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
    public boolean allows(Submission job) {
        return (job.types() == null || job.types().contains(type.name()))
                && (job.zone() == null || job.zone().equals(zone))
                && (job.spot() || !spot);
    }

    public boolean fits(Submission job) {
        return job.cores() <= cores + Constants.EPSILON
                && job.accelerators() <= accelerators + Constants.EPSILON
                && job.memoryGb() <= memoryGb + Constants.EPSILON;
    }

    public void take(Submission job) {
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
