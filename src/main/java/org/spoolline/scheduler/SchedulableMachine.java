package org.spoolline.scheduler;

import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** A machine that accepts launches, with its free capacity and its reservation during one planning pass. */
final class SchedulableMachine extends Capacity {
    private final Machine machine;
    /** The job that the machine is reserved for, or null. */
    private String reservedForJob;

    /**
     * An empty machine.
     *
     * @param reservedForJob id of the job that the machine is being cleared for, or null
     */
    SchedulableMachine(Machine machine, MachineType type, String reservedForJob) {
        super(type, machine.zone(), machine.spot());
        this.machine = machine;
        this.reservedForJob = reservedForJob;
    }

    /** The machine as the registry knows it. */
    Machine machine() {
        return machine;
    }

    /** The machine's name, which is unique in the cluster. */
    String name() {
        return machine.name();
    }

    /** True when the machine accepts tasks of a single job only. */
    boolean isReserved() {
        return reservedForJob != null;
    }

    /** Keeps the machine from all jobs but this one for the rest of the pass. */
    void reserve(String jobId) {
        reservedForJob = jobId;
    }

    /** The share of the machine's cores that is in use, from 0 to 1. */
    double utilization() {
        return 1 - cores() / type().cores();
    }

    /** True when the job may use this machine, whatever capacity is free on it. */
    boolean accepts(Pipeline job) {
        return permits(job.spec())
                && !job.avoids(name())
                && (reservedForJob == null || reservedForJob.equals(job.jobId()));
    }

    /** True when the machine has the job's image. */
    boolean hasImage(Submission job) {
        return machine.hasImage(job.image());
    }

    /** Seconds that the machine needs to fetch the job's image; 0 when it has the image. */
    double imageFetchS(Submission job) {
        return hasImage(job) ? 0 : job.imageGb() / type().fetchGbPerS();
    }
}
