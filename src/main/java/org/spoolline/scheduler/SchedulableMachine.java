package org.spoolline.scheduler;

import org.spoolline.cluster.Capacity;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineType;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** A machine that accepts launches, with its free capacity and its reservation within one planning pass. */
final class SchedulableMachine extends Capacity {
    private final Machine machine;
    /** Id of the job that the machine is reserved for, or null. */
    private String reservedForJob;

    /**
     * Creates a machine without any allocation.
     *
     * @param reservedForJob id of the job that the machine is reserved for, or null
     */
    SchedulableMachine(Machine machine, MachineType type, String reservedForJob) {
        super(type, machine.zone(), machine.spot());
        this.machine = machine;
        this.reservedForJob = reservedForJob;
    }

    /** The machine's entry in the registry. */
    Machine machine() {
        return machine;
    }

    /** The machine's name, which is unique in the cluster. */
    String name() {
        return machine.name();
    }

    /** True when the machine is reserved for a job and accepts tasks of that job only. */
    boolean isReserved() {
        return reservedForJob != null;
    }

    /** Reserves the machine for the job until the end of the planning pass. */
    void reserve(String jobId) {
        reservedForJob = jobId;
    }

    /** The share of the machine's cores that is in use, from 0 to 1. */
    double utilization() {
        return 1 - cores() / type().cores();
    }

    /** True when constraints, avoided machines and reservations allow the job here; free capacity is not checked. */
    boolean accepts(Pipeline job) {
        return permits(job.spec())
                && !job.avoids(name())
                && (reservedForJob == null || reservedForJob.equals(job.jobId()));
    }

    /** True when the machine is expected to have the job's image cached. */
    boolean hasImage(Submission job) {
        return machine.hasImage(job.image());
    }

    /** Seconds that the machine takes to fetch the job's image; 0 when the image is cached. */
    double imageFetchS(Submission job) {
        return hasImage(job) ? 0 : job.imageGb() / type().fetchGbPerS();
    }
}
