package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineTypeCatalog;
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
import org.spoolline.pipeline.ValueCompactor;

/** Creates attempts for the placements of a plan, as many as fit into the stored value of each job. */
final class LaunchPreparer {
    private static final Logger LOG = LoggerFactory.getLogger(LaunchPreparer.class);

    private final KeyValueStoreClient store;
    private final JobTable jobs;
    private final MachineTypeCatalog catalog;
    private final GangLaunchOrder gangLaunches;
    private final ImageTracker images;
    private final Counters counters;
    private final StallMonitor stallMonitor;
    private final JobPauses jobsWithFullValue;
    /** Ids of the gangs whose attempts did not fit their value with the machines that were last planned. */
    private final Set<String> gangsToPack = new HashSet<>();

    LaunchPreparer(SchedulerContext context, GangLaunchOrder gangLaunches, ImageTracker images) {
        this.store = context.store();
        this.jobs = context.jobs();
        this.catalog = context.catalog();
        this.gangLaunches = gangLaunches;
        this.images = images;
        this.counters = context.counters();
        this.stallMonitor = context.stallMonitor();
        this.jobsWithFullValue = new JobPauses(context.loop());
    }

    /** Clears the state of the previous term. */
    void clear() {
        jobsWithFullValue.clear();
        gangsToPack.clear();
    }

    /**
     * Returns the jobs whose stored value recently had no space for all placed attempts. Planning them again in each
     * cycle would assign them capacity that they cannot use, so the planner skips them for
     * {@link Constants.Cycle#VALUE_FULL_BACKOFF_MS}.
     */
    JobPauses jobsWithFullValue() {
        jobsWithFullValue.expire();
        return jobsWithFullValue;
    }

    /** Ids of the live gangs that have to be placed on fewer machines than they were last planned on. */
    Set<String> gangsToPack() {
        gangsToPack.removeIf(jobId -> jobs.get(jobId) == null);
        return gangsToPack;
    }

    /** Adds attempts for the plan's placements, by job id, to the values that the cycle writes. */
    void prepare(Map<String, List<Placement>> placements, CycleState state) {
        placements.forEach((jobId, jobPlacements) -> prepare(jobId, jobPlacements, state));
    }

    private void prepare(String jobId, List<Placement> placements, CycleState state) {
        JobEntry entry = jobs.get(jobId);
        PendingWrite write = state.pendingWrites().get(jobId);
        Pipeline proposed = write == null ? entry.committed().copy() : write.proposed();
        Set<AttemptId> attemptsWithImage = new HashSet<>();
        List<Attempt> added = addFittingAttempts(proposed, placements, attemptsWithImage);
        if (added.isEmpty() && proposed.attempts().isEmpty() && makeSpaceForAttempt(proposed, placements)) {
            added = addFittingAttempts(proposed, placements, attemptsWithImage);
        }
        if (added.size() < placements.size()) {
            jobsWithFullValue.pause(jobId, Constants.Cycle.VALUE_FULL_BACKOFF_MS);
            reportFullValue(proposed, placements.size(), added.size());
        }
        if (proposed.spec().gang()) {
            gangLaunches.launchLast(jobId, attemptsWithImage);
            updateGangsToPack(jobId, added.isEmpty());
        }
        if (!added.isEmpty()) {
            counters.count(Event.TASK_PLACED, added.size());
            stallMonitor.recordPlacement();
        }
        if (!added.isEmpty() && write == null) {
            state.addWrite(entry, proposed);
        }
        LOG.info(
                "Placed tasks: job={} placed={} planned={} attempt={}",
                jobId,
                added.size(),
                placements.size(),
                attemptNumber(proposed));
    }

    private void updateGangsToPack(String jobId, boolean withdrawn) {
        if (withdrawn) {
            gangsToPack.add(jobId);
        } else {
            gangsToPack.remove(jobId);
        }
    }

    /** Adds attempts for as many of the placements as the job's value has space for, the first ones; returns them. */
    private List<Attempt> addFittingAttempts(
            Pipeline job, List<Placement> placements, Set<AttemptId> attemptsWithImage) {
        List<Attempt> added = addAttempts(job, attemptNumber(job), placements, attemptsWithImage);
        withdrawUntilValueFits(job, added);
        return added;
    }

    /**
     * Makes space for an attempt in the value of a job that has none. Only a value that was stored by an earlier
     * version needs that, since placements leave this space. Without it, the job would never make progress again.
     *
     * @return true when the value has changed, so that it may have space for the placements now
     */
    private boolean makeSpaceForAttempt(Pipeline job, List<Placement> placements) {
        boolean shortened = shortenLongDescription(job);
        int forgotten = forgetCompletionsUntilFits(job, placements.get(0));
        return shortened || forgotten > 0;
    }

    /** Shortens a description that takes more space than that of a new job may. */
    private boolean shortenLongDescription(Pipeline job) {
        int bytesBefore = ValueCompactor.descriptionBytes(job);
        boolean shortened = bytesBefore > store.safeValueBytes() * Constants.StoredValue.DESCRIPTION_SHARE
                && ValueCompactor.shortenDescription(job, catalog.types().keySet());
        if (shortened) {
            LOG.info(
                    "Shortened description to make space for attempts: job={} bytes={} bytes_before={}",
                    job.jobId(),
                    ValueCompactor.descriptionBytes(job),
                    bytesBefore);
        }
        return shortened;
    }

    /** Returns the number of completions that were forgotten until the placement fits, if it does. */
    private int forgetCompletionsUntilFits(Pipeline job, Placement placement) {
        int forgotten = 0;
        int forgottenNow = -1;
        int excessBytes = excessBytesWith(job, placement);
        while (excessBytes > 0 && forgottenNow != 0) {
            forgottenNow = ValueCompactor.forgetLastCompletions(job, excessBytes);
            forgotten += forgottenNow;
            excessBytes = excessBytesWith(job, placement);
        }
        if (forgotten > 0) {
            counters.count(Event.COMPLETION_FORGOTTEN, forgotten);
            LOG.warn(
                    "Forgot completions to make space for attempts: job={} forgotten={} completed_tasks={}",
                    job.jobId(),
                    forgotten,
                    job.completedTasks());
        }
        return forgotten;
    }

    /** Number of bytes by which the job's value could exceed the limit with an attempt for this placement. */
    private int excessBytesWith(Pipeline job, Placement placement) {
        Attempt attempt = attemptOf(placement, job.nextAttemptNumber());
        job.addAttempt(attempt);
        int excessBytes = job.maxStoredBytes() - store.safeValueBytes();
        job.withdrawAttempt(attempt);
        return excessBytes;
    }

    private static Attempt attemptOf(Placement placement, long number) {
        Machine machine = placement.machine();
        return new Attempt(placement.task(), number, machine.name(), machine.incarnation());
    }

    /**
     * Returns the number for new attempts of the job. New members of a partly placed gang get the attempt number of its
     * existing members.
     */
    private static long attemptNumber(Pipeline job) {
        boolean completesGang = job.spec().gang() && !job.attempts().isEmpty();
        return completesGang ? job.attempts().iterator().next().number() : job.nextAttemptNumber();
    }

    /**
     * Adds an attempt for each placement, and to {@code attemptsWithImage} those whose machine has cached the image.
     */
    private List<Attempt> addAttempts(
            Pipeline job, long attemptNumber, List<Placement> placements, Set<AttemptId> attemptsWithImage) {
        List<Attempt> added = new ArrayList<>();
        for (Placement placement : placements) {
            Machine machine = placement.machine();
            Attempt attempt = attemptOf(placement, attemptNumber);
            job.addAttempt(attempt);
            added.add(attempt);
            if (machine.hasImage(job.spec().image())) {
                attemptsWithImage.add(AttemptId.of(job.jobId(), attempt));
            }
            images.recordUse(machine, job.spec());
        }
        return added;
    }

    /**
     * Withdraws the last added attempts until the value fits: for a gang all of them at once, for an array job half of
     * the remaining ones at a time.
     */
    private void withdrawUntilValueFits(Pipeline job, List<Attempt> added) {
        while (!added.isEmpty() && !valueFits(job)) {
            int withdrawCount = job.spec().gang() ? added.size() : (added.size() + 1) / 2;
            for (int i = 0; i < withdrawCount; i++) {
                job.withdrawAttempt(added.remove(added.size() - 1));
            }
        }
    }

    /** True when every value that the job can have before its next placement fits the limit. */
    private boolean valueFits(Pipeline job) {
        return job.maxStoredBytes() <= store.safeValueBytes();
    }

    /**
     * Counts and logs the placements of a job that its value has no space for. A job that has no attempts and gets none
     * makes no progress, which someone should look at.
     */
    private void reportFullValue(Pipeline job, int planned, int placed) {
        counters.count(Event.PLACEMENT_WITHDRAWN_VALUE_FULL, planned - placed);
        boolean withoutAttempts = job.attempts().isEmpty();
        if (withoutAttempts) {
            counters.count(Event.JOB_WITHOUT_SPACE_FOR_ATTEMPTS);
        }
        LOG.atLevel(withoutAttempts ? Level.WARN : Level.INFO)
                .log(
                        "Value has no space for placements: job={} planned={} placed={} attempts={} bytes={}"
                                + " max_bytes={} limit_bytes={} completed_tasks={} completed_below={} failures={}",
                        job.jobId(),
                        planned,
                        placed,
                        job.attempts().size(),
                        Json.bytes(job.encode()).length,
                        job.maxStoredBytes(),
                        store.safeValueBytes(),
                        job.completedTasks(),
                        job.completedBelow(),
                        job.failures());
    }
}
