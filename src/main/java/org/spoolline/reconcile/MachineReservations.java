package org.spoolline.reconcile;

/** The machines that are reserved for one job each, as far as reconciliation depends on them. */
public interface MachineReservations {
    /** Requests the stop of those attempts of the job that have to leave a machine reserved for another one. */
    void requestStops(String jobId, StopRequests stops);

    /** Reserves a machine for a job, in addition to those reserved already, for at least this time from now. */
    void reserve(String jobId, String machine, long durationMs);
}
