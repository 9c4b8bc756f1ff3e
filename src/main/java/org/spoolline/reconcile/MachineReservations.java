package org.spoolline.reconcile;

/** The part of the machine reservations that reconciliation needs. A reserved machine accepts tasks of one job only. */
public interface MachineReservations {
    /**
     * Requests the stop of those attempts of the job that run on a machine reserved for another job and are to be
     * evicted.
     */
    void requestStops(String jobId, StopRequests stops);

    /** Reserves one more machine for the job, for at least this duration in ms from now. */
    void reserve(String jobId, String machine, long durationMs);
}
