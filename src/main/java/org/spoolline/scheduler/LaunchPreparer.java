package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.config.Constants;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/** Turns a plan's placements into attempts, as many as the job's stored value can take. */
final class LaunchPreparer {
    private static final Logger LOG = LoggerFactory.getLogger(LaunchPreparer.class);

    private final KeyValueStoreClient store;
    private final JobTable jobs;
    private final GangLaunchOrder gangLaunches;
    private final ImageTracker images;
    private final Counters counters;
    private final StallMonitor stalls;
    private final JobPauses fullJobs;

    LaunchPreparer(SchedulerContext context, GangLaunchOrder gangLaunches, ImageTracker images) {
        this.store = context.store();
        this.jobs = context.jobs();
        this.gangLaunches = gangLaunches;
        this.images = images;
        this.counters = context.counters();
        this.stalls = context.stalls();
        this.fullJobs = new JobPauses(context.loop());
    }

    /** Forgets everything of an earlier term. */
    void clear() {
        fullJobs.clear();
    }

    /**
     * Jobs whose value has lately had no space for all placed attempts. Their placements would leave capacity unused in
     * cycle after cycle, so they are not placed for a while.
     */
    JobPauses fullJobs() {
        fullJobs.expire();
        return fullJobs;
    }

    /** Adds attempts for the placements of every job to the values to be written. */
    void prepare(Map<String, List<Placement>> placements, CycleState state) {
        placements.forEach((jobId, placed) -> prepare(jobId, placed, state));
    }

    private void prepare(String jobId, List<Placement> placements, CycleState state) {
        JobEntry entry = jobs.get(jobId);
        PendingWrite write = state.pendingWrites().get(jobId);
        Pipeline next = write == null ? entry.committed().copy() : write.next();
        long number = attemptNumber(next);
        Set<AttemptId> withImage = new HashSet<>();
        List<Attempt> added = addAttempts(next, number, placements, withImage);
        withdrawUntilValueFits(next, added);
        if (added.size() < placements.size()) {
            fullJobs.pause(jobId, Constants.Cycle.VALUE_FULL_BACKOFF_MS);
        }
        if (next.spec().gang()) {
            gangLaunches.launchLast(jobId, withImage);
        }
        if (!added.isEmpty()) {
            counters.count(Event.TASK_PLACED, added.size());
            stalls.progress();
        }
        if (!added.isEmpty() && write == null) {
            state.addWrite(entry, next);
        }
        LOG.info(
                "Placed tasks: job={} placed={} planned={} attempt={}", jobId, added.size(), placements.size(), number);
    }

    /** Members that complete a gang share the number of the members that it has. */
    private static long attemptNumber(Pipeline job) {
        boolean completesGang = job.spec().gang() && !job.attempts().isEmpty();
        return completesGang ? job.attempts().iterator().next().number() : job.nextAttemptNumber();
    }

    /** Adds an attempt for each placement; {@code withImage} receives those whose machine has the image. */
    private List<Attempt> addAttempts(Pipeline job, long number, List<Placement> placements, Set<AttemptId> withImage) {
        List<Attempt> added = new ArrayList<>();
        for (Placement placement : placements) {
            Machine machine = placement.machine();
            Attempt attempt = new Attempt(placement.task(), number, machine.name(), machine.incarnation());
            job.addAttempt(attempt);
            added.add(attempt);
            if (machine.hasImage(job.spec().image())) {
                withImage.add(AttemptId.of(job.jobId(), attempt));
            }
            images.recordUse(machine, job.spec());
        }
        return added;
    }

    /** Withdraws attempts from the end until the value fits: all of a gang, half of an array at a time. */
    private void withdrawUntilValueFits(Pipeline job, List<Attempt> added) {
        while (!added.isEmpty() && !valueFits(job)) {
            int withdrawn = job.spec().gang() ? added.size() : (added.size() + 1) / 2;
            for (int i = 0; i < withdrawn; i++) {
                job.withdrawAttempt(added.remove(added.size() - 1));
            }
        }
    }

    /** True while the value can still take the end of every task, in any order, and a cancellation. */
    private boolean valueFits(Pipeline job) {
        int bytes = Json.bytes(job.encode()).length;
        int limit = store.safeValueBytes();
        return bytes <= limit * Constants.Job.VALUE_FILL
                && bytes + job.joinGrowthBytes() + Constants.Job.VALUE_RESERVE_BYTES <= limit;
    }
}
