package org.spoolline.placement;

import java.util.List;
import org.spoolline.diagnostics.StallMonitor;
import org.spoolline.fleet.Catalog;
import org.spoolline.fleet.MachineType;
import org.spoolline.leadership.Leadership;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.workers.Machine;

/** Tells what a leader that starts nothing knows of the reason. Looks at every job and machine, so it is asked rarely. */
final class StallInspector {
    private final Leadership leadership;
    private final Catalog catalog;
    private final JobTable jobs;
    private final JobWatch watch;
    private final Writes writes;

    StallInspector(Leadership leadership, Catalog catalog, JobTable jobs, JobWatch watch, Writes writes) {
        this.leadership = leadership;
        this.catalog = catalog;
        this.jobs = jobs;
        this.watch = watch;
        this.writes = writes;
    }

    /** What is seen now, given whether the last scheduling cycle and the last plan came to nothing. */
    StallMonitor.Situation inspect(List<Machine> usable, boolean lastCycleFailed, boolean lastPlanFailed) {
        int waitsForOthers = 0;
        int ready = 0;
        for (JobTable.Entry entry : jobs.entries()) {
            Pipeline job = entry.confirmed();
            if (entry.cancelled()) {
                continue;
            }
            if (job.waiting()) {
                waitsForOthers++;
            } else if (job.readyCount() > 0) {
                ready++;
            }
        }
        double free = usable.stream().mapToDouble(this::freeCores).sum();
        StallMonitor.Reason reason = reason(ready, usable.isEmpty(), lastCycleFailed, lastPlanFailed);
        return new StallMonitor.Situation(reason, waitsForOthers + ready, usable.size(), free);
    }

    private StallMonitor.Reason reason(
            int readyJobs, boolean noMachine, boolean lastCycleFailed, boolean lastPlanFailed) {
        if (!leadership.valid()) {
            return StallMonitor.Reason.LEADERSHIP_LAPSED;
        }
        if (!watch.loaded()) {
            return StallMonitor.Reason.JOBS_UNREAD;
        }
        if (lastCycleFailed) {
            return StallMonitor.Reason.CYCLES_FAIL;
        }
        if (lastPlanFailed) {
            return StallMonitor.Reason.PLANS_FAIL;
        }
        if (readyJobs == 0) {
            return StallMonitor.Reason.PREREQUISITES;
        }
        if (noMachine) {
            return StallMonitor.Reason.NO_MACHINE_REPORTS;
        }
        return writes.settled() ? StallMonitor.Reason.NO_ROOM_OR_LIMIT : StallMonitor.Reason.WRITES_BLOCKED;
    }

    private double freeCores(Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        double free = type == null ? 0 : type.cores();
        for (Machine.Start start : jobs.on(machine.name()).keySet()) {
            free -= jobs.get(start.uid()).confirmed().spec().cores();
        }
        return Math.max(0, free);
    }
}
