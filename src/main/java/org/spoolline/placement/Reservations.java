package org.spoolline.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.settings.Constants;
import org.spoolline.workers.Machine;

/** Machines that take work of one job only, for a bounded time: cleared for it, or kept for a gang that has its image there. */
final class Reservations {
    private final Loop loop;
    private final JobTable jobs;
    private final Map<String, Reservation> byJob = new LinkedHashMap<>();

    private record Reservation(Placer.Clearing clearing, long until) {
        Reservation with(String machine, long atLeastUntil) {
            Set<String> more = new LinkedHashSet<>(clearing.machines());
            more.add(machine);
            return new Reservation(
                    new Placer.Clearing(clearing.uid(), more, clearing.leaving(), clearing.warm()),
                    Math.max(until, atLeastUntil));
        }
    }

    Reservations(Loop loop, JobTable jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    void clear() {
        byJob.clear();
    }

    /** Reserves the machines of a clearing for its job. */
    void reserve(Placer.Clearing clearing) {
        byJob.put(clearing.uid(), new Reservation(clearing, loop.now() + Constants.RESERVED_MS));
    }

    /** Reserves one machine more for a job, for at least so long. */
    void keep(String uid, String machine, long forMs) {
        long until = loop.now() + forMs;
        Reservation kept =
                byJob.getOrDefault(uid, new Reservation(new Placer.Clearing(uid, Set.of(), Map.of(), false), until));
        byJob.put(uid, kept.with(machine, until));
    }

    /** Machines reserved for a job. */
    Set<String> machinesOf(String uid) {
        Reservation reservation = byJob.get(uid);
        return reservation == null ? Set.of() : reservation.clearing().machines();
    }

    /** The job for which a machine is reserved, by machine. */
    Map<String, String> jobsByMachine() {
        Map<String, String> reserved = new HashMap<>();
        byJob.forEach((uid, r) -> r.clearing().machines().forEach(m -> reserved.put(m, uid)));
        return reserved;
    }

    /** Adds every reserved machine. */
    void addMachinesTo(Collection<String> names) {
        byJob.values().forEach(r -> names.addAll(r.clearing().machines()));
    }

    /** Calls for each attempt of the job that has to leave a reserved machine, with its grace in seconds. */
    void forEachLeaving(String uid, BiConsumer<Machine.Start, Double> action) {
        for (Reservation r : byJob.values()) {
            r.clearing().leaving().forEach((start, grace) -> {
                if (start.uid().equals(uid)) {
                    action.accept(start, grace);
                }
            });
        }
    }

    /** A reservation ends when its job has started or is over, or when it has led to nothing for too long. */
    void lapse() {
        byJob.values().removeIf(r -> {
            JobTable.Entry entry = jobs.get(r.clearing().uid());
            return entry == null
                    || entry.cancelled()
                    || started(entry.confirmed(), r.clearing())
                    || loop.now() > r.until();
        });
    }

    /** A gang has started once it is placed in full; an array, once nobody has to leave for it any more. */
    private boolean started(Pipeline job, Placer.Clearing clearing) {
        return job.spec().gang()
                ? job.attempts().size() == job.spec().tasks()
                : clearing.leaving().keySet().stream().noneMatch(start -> clearing.machines().stream()
                        .anyMatch(m -> jobs.on(m).containsKey(start)));
    }
}
