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
 * Machines that take tasks of one job only, for a bounded time: those preempted for it, and those kept for a gang that has
 * its image there.
 */
final class Reservations implements MachineReservations {
    private final EventLoop loop;
    private final JobTable jobs;
    private final Map<String, Reservation> byJob = new LinkedHashMap<>();
    /** Gangs for which machines with their image were cleared: once each, so that none waits for long. */
    private final Set<String> gangsPreemptedForImage = new HashSet<>();

    /** A job's machines with the evictions that clear them, and the time until which they are reserved. */
    private record Reservation(Preemption preemption, long until) {
        /** With one machine more, reserved at least until this time. */
        Reservation with(String machine, long atLeastUntil) {
            Set<String> more = new LinkedHashSet<>(preemption.machines());
            more.add(machine);
            return new Reservation(
                    new Preemption(preemption.jobId(), more, preemption.evicted(), preemption.forImageLocality()),
                    Math.max(until, atLeastUntil));
        }
    }

    Reservations(EventLoop loop, JobTable jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Forgets the reservations of an earlier term. */
    void clear() {
        byJob.clear();
        gangsPreemptedForImage.clear();
    }

    /** Forgets what is remembered of a job for as long as it lives, now that it is in a terminal state. */
    void forget(String jobId) {
        gangsPreemptedForImage.remove(jobId);
    }

    /** Gangs for which machines with their image were cleared in this term. */
    Set<String> gangsPreemptedForImage() {
        return gangsPreemptedForImage;
    }

    /** Reserves the machines of a preemption for its job. */
    void reserve(Preemption preemption) {
        byJob.put(preemption.jobId(), new Reservation(preemption, loop.now() + Constants.Placement.RESERVATION_MS));
        if (preemption.forImageLocality()) {
            gangsPreemptedForImage.add(preemption.jobId());
        }
    }

    @Override
    public void reserve(String jobId, String machine, long durationMs) {
        long until = loop.now() + durationMs;
        Reservation kept =
                byJob.getOrDefault(jobId, new Reservation(new Preemption(jobId, Set.of(), Map.of(), false), until));
        byJob.put(jobId, kept.with(machine, until));
    }

    /** The machines that are reserved for a job. */
    Set<String> machinesOf(String jobId) {
        Reservation reservation = byJob.get(jobId);
        return reservation == null ? Set.of() : reservation.preemption().machines();
    }

    /** The job for which a machine is reserved, by machine. */
    Map<String, String> jobsByMachine() {
        Map<String, String> reserved = new HashMap<>();
        byJob.forEach((jobId, reservation) ->
                reservation.preemption().machines().forEach(machine -> reserved.put(machine, jobId)));
        return reserved;
    }

    /** Adds the names of all reserved machines to a collection. */
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

    /** Ends the reservations of jobs that have started or reached a terminal state, and those whose time is up. */
    void expire() {
        byJob.values().removeIf(reservation -> {
            JobEntry entry = jobs.get(reservation.preemption().jobId());
            return entry == null
                    || entry.cancelled()
                    || started(entry.committed(), reservation.preemption())
                    || loop.now() > reservation.until();
        });
    }

    /** A gang has started once it is placed in full; an array, once no attempt has to leave a machine for it. */
    private boolean started(Pipeline job, Preemption preemption) {
        if (job.spec().gang()) {
            return job.attempts().size() == job.spec().tasks();
        }
        for (AttemptId evicted : preemption.evicted().keySet()) {
            if (onAny(preemption.machines(), evicted)) {
                return false;
            }
        }
        return true;
    }

    private boolean onAny(Set<String> machines, AttemptId attemptId) {
        for (String machine : machines) {
            if (jobs.attemptsOn(machine).containsKey(attemptId)) {
                return true;
            }
        }
        return false;
    }
}
