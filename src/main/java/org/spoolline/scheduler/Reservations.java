package org.spoolline.scheduler;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.spoolline.config.Constants;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.reconcile.MachineReservations;
import org.spoolline.reconcile.StopRequests;

/**
 * Machines that are each reserved for one job for a bounded time: machines cleared for a job by preemption, and
 * machines that have the image of a gang which has to be placed again because its members' wait timed out.
 */
final class Reservations implements MachineReservations {
    private final EventLoop loop;
    private final JobTable jobs;
    private final Map<String, Reservation> byJob = new LinkedHashMap<>();
    /**
     * Gangs for which machines with their image have been cleared by preemption: at most once each, so that no gang
     * waits long for such machines.
     */
    private final Set<String> gangsPreemptedForImage = new HashSet<>();

    /** A job's reserved machines, the evictions that clear them, and the time at which the reservation expires. */
    private record Reservation(Preemption preemption, long until) {
        /** Returns this reservation with one more machine and extended to at least {@code atLeastUntil}. */
        Reservation withMachine(String machine, long atLeastUntil) {
            Set<String> machines = new LinkedHashSet<>(preemption.machines());
            machines.add(machine);
            return new Reservation(
                    new Preemption(preemption.jobId(), machines, preemption.evicted(), preemption.forImageLocality()),
                    Math.max(until, atLeastUntil));
        }
    }

    Reservations(EventLoop loop, JobTable jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Removes all reservations; to be called at the start of a term. */
    void clear() {
        byJob.clear();
        gangsPreemptedForImage.clear();
    }

    /** Removes the record of a preemption for image locality, once the job has reached a terminal state. */
    void removeJob(String jobId) {
        gangsPreemptedForImage.remove(jobId);
    }

    /** Ids of the gangs for which machines with their image have been cleared in this term. */
    Set<String> gangsPreemptedForImage() {
        return gangsPreemptedForImage;
    }

    /** Reserves the machines of a preemption for its job; replaces an earlier reservation of the job. */
    void reserve(Preemption preemption) {
        byJob.put(preemption.jobId(), new Reservation(preemption, loop.now() + Constants.Placement.RESERVATION_MS));
        if (preemption.forImageLocality()) {
            gangsPreemptedForImage.add(preemption.jobId());
        }
    }

    @Override
    public void reserve(String jobId, String machine, long durationMs) {
        long until = loop.now() + durationMs;
        Reservation reservation =
                byJob.getOrDefault(jobId, new Reservation(new Preemption(jobId, Set.of(), Map.of(), false), until));
        byJob.put(jobId, reservation.withMachine(machine, until));
    }

    /** Names of the machines reserved for a job; empty when there are none. */
    Set<String> machinesReservedFor(String jobId) {
        Reservation reservation = byJob.get(jobId);
        return reservation == null ? Set.of() : reservation.preemption().machines();
    }

    /** For each reserved machine, by name: the id of the job that it is reserved for. */
    Map<String, String> reservedJobsByMachine() {
        Map<String, String> jobsByMachine = new HashMap<>();
        byJob.forEach((jobId, reservation) ->
                reservation.preemption().machines().forEach(machine -> jobsByMachine.put(machine, jobId)));
        return jobsByMachine;
    }

    /** Adds the names of all reserved machines to {@code names}. */
    void addMachinesTo(Collection<String> names) {
        byJob.values()
                .forEach(reservation -> names.addAll(reservation.preemption().machines()));
    }

    @Override
    public void requestStops(String jobId, StopRequests stops) {
        for (Reservation reservation : byJob.values()) {
            reservation.preemption().evicted().forEach((attemptId, graceS) -> {
                if (attemptId.jobId().equals(jobId)) {
                    stops.request(attemptId, graceS);
                }
            });
        }
    }

    /** Removes reservations of jobs that have started, were cancelled or reached a terminal state, and expired ones. */
    void expire() {
        byJob.values().removeIf(reservation -> {
            JobEntry entry = jobs.get(reservation.preemption().jobId());
            return entry == null
                    || entry.cancelled()
                    || hasStarted(entry.committed(), reservation.preemption())
                    || loop.now() > reservation.until();
        });
    }

    /**
     * A gang counts as started once all its members are placed; an array job, once none of the evicted attempts is left
     * on the reserved machines.
     */
    private boolean hasStarted(Pipeline job, Preemption preemption) {
        if (job.spec().gang()) {
            return job.attempts().size() == job.spec().tasks();
        }
        for (AttemptId evicted : preemption.evicted().keySet()) {
            if (runsOnAny(preemption.machines(), evicted)) {
                return false;
            }
        }
        return true;
    }

    private boolean runsOnAny(Set<String> machines, AttemptId attemptId) {
        for (String machine : machines) {
            if (jobs.attemptsOn(machine).containsKey(attemptId)) {
                return true;
            }
        }
        return false;
    }
}
