package org.spoolline.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.fleet.Catalog;
import org.spoolline.fleet.MachineType;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.workers.Evidence;
import org.spoolline.workers.Machine;
import org.spoolline.workers.MachineTable;
import org.spoolline.workers.TaskReport;

/**
 * Steps single pipelines by what is proven about their attempts, and decides which attempts are to be stopped: those of
 * broken gangs, on machines that are about to go, or in the way of others.
 */
final class AttemptEvaluator {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptEvaluator.class);

    private final Loop loop;
    private final Settings settings;
    private final Catalog catalog;
    private final MachineTable machines;
    private final Reservations reservations;
    /** Machines that have new orders since the last cycle told so. */
    private final Set<String> withNews;

    private Evidence evidence;
    /** The grace in seconds with which attempts are to end, by job. */
    private final Map<String, Map<Machine.Start, Double>> stops = new HashMap<>();
    /** When this leader first saw a cancelled job with unlisted attempts. */
    private final Map<String, Long> unlistedSince = new HashMap<>();

    AttemptEvaluator(
            Loop loop,
            Settings settings,
            Catalog catalog,
            MachineTable machines,
            Reservations reservations,
            Set<String> withNews) {
        this.loop = loop;
        this.settings = settings;
        this.catalog = catalog;
        this.machines = machines;
        this.reservations = reservations;
        this.withNews = withNews;
    }

    /** Forgets everything of an earlier term; {@code newEvidence} counts for the present one. */
    void begin(Evidence newEvidence) {
        evidence = newEvidence;
        stops.clear();
        unlistedSince.clear();
    }

    /** The job is over. */
    void forget(String uid) {
        stops.remove(uid);
        unlistedSince.remove(uid);
    }

    /** True when some attempt of the job is to be stopped. */
    boolean stopping(String uid) {
        return stops.containsKey(uid);
    }

    /** The grace in seconds with which an attempt is to end; null for those that are to go on. */
    Double graceOf(Machine.Start start) {
        return stops.getOrDefault(start.uid(), Map.of()).get(start);
    }

    /** The task's phase as last reported; one not yet seen counts as fetching. */
    TaskReport.Phase phase(Machine.Start start, Attempt attempt) {
        Machine machine = machines.get(attempt.machine());
        TaskReport report = machine == null ? null : machine.tasks().get(start);
        return report == null ? TaskReport.Phase.FETCHING : report.phase();
    }

    /** One job that can't be judged must not stop the cycles for all others. */
    Pipeline tryToEvaluate(JobTable.Entry entry, Collection<Attempt> due) {
        try {
            return evaluate(entry, due);
        } catch (RuntimeException e) {
            LOG.error("{} can't be judged", entry.confirmed().uid(), e);
            return null;
        }
    }

    /** Steps one pipeline by what is proven about the attempts that are due; null when nothing changes. */
    private Pipeline evaluate(JobTable.Entry entry, Collection<Attempt> due) {
        Pipeline now = entry.confirmed();
        Submission spec = now.spec();
        stops.remove(now.uid());
        reservations.forEachLeaving(now.uid(), this::stop);
        Pipeline next = null;
        int gone = 0;
        for (Attempt attempt : due) {
            if (!now.holds(attempt)) {
                continue;
            }
            Machine machine = machines.get(attempt.machine());
            Evidence.Finding finding = evidence.judge(now.uid(), attempt, machine, loop.now());
            boolean unwanted = now.cancelled()
                    || noticeStop(spec, machine, attempt, now)
                    || graceOf(Machine.Start.of(now.uid(), attempt)) != null;
            if (now.cancelled() && finding.verdict() == Evidence.Verdict.ALIVE) {
                withNews.add(attempt.machine());
            }
            switch (finding.verdict()) {
                case EXITED -> {
                    next = next == null ? now.copy() : next;
                    exited(next, attempt, machine, finding.report());
                }
                case GONE -> {
                    next = next == null ? now.copy() : next;
                    next.lose(attempt);
                    gone++;
                    LOG.debug(
                            "{}/{} attempt {} is gone with {}",
                            now.uid(),
                            attempt.task(),
                            attempt.number(),
                            attempt.machine());
                }
                case ABSENT -> {
                    if (unwanted) {
                        next = next == null ? now.copy() : next;
                        next.lose(attempt);
                    }
                }
                default -> {}
            }
        }
        if (gone > 0) {
            // One line a job: hundreds of tasks may be gone after a crash of all controllers, when time is short.
            LOG.info("{}: {} attempts are gone with their machines", now.uid(), gone);
        }
        Pipeline result = next == null ? now : next;
        if (spec.gang() && !result.finished() && !result.attempts().isEmpty()) {
            next = evaluateGang(now, result, next);
        }
        if (next == null && now.cancelled() && now.attempts().isEmpty() && unlistedAreGone(now)) {
            next = now.copy();
            next.unlistedAreGone();
        }
        return next;
    }

    /** Of a job cancelled with unlisted attempts, none is left cancel_s after its value was stored, so after it was read. */
    private boolean unlistedAreGone(Pipeline cancelled) {
        if (cancelled.unlisted() == 0) {
            return true;
        }
        long since = unlistedSince.computeIfAbsent(cancelled.uid(), uid -> loop.now());
        return loop.now() - since > settings.workers().cancelMs() * (1 + Constants.DRIFT);
    }

    /** A gang that has lost a member ends as a whole, and starts again once every member is proven gone. */
    private Pipeline evaluateGang(Pipeline now, Pipeline result, Pipeline next) {
        boolean started = result.attempts().stream().anyMatch(a -> switch (phase(Machine.Start.of(now.uid(), a), a)) {
            case FETCHING, GATHERING -> false;
            default -> true;
        });
        // Before the start, the rest may wait for a replacement under the same attempt number.
        boolean broken = result.attempts().size() < now.spec().tasks() && started;
        boolean stopping = result.attempts().stream().anyMatch(a -> graceOf(Machine.Start.of(now.uid(), a)) != null);
        if (!broken && !stopping) {
            return next;
        }
        double grace = broken ? 0 : now.spec().stopGraceS();
        Pipeline changed = next;
        for (Attempt a : List.copyOf(result.attempts())) {
            stop(now.uid(), a, grace);
            if (evidence.judge(now.uid(), a, machines.get(a.machine()), loop.now())
                            .verdict()
                    == Evidence.Verdict.ABSENT) {
                changed = changed == null ? now.copy() : changed;
                changed.lose(a);
            }
        }
        return changed;
    }

    /** A task that can save leaves a machine that the cloud is about to take, or that is emptied to be returned. */
    private boolean noticeStop(Submission spec, Machine machine, Attempt attempt, Pipeline job) {
        if (machine == null || machine.noticeS() == null && !machine.vacating()) {
            return false;
        }
        TaskReport report = machine.tasks().get(Machine.Start.of(job.uid(), attempt));
        boolean started = report != null && report.phase() != TaskReport.Phase.FETCHING;
        if (started && !spec.saves()) {
            return false;
        }
        stop(job.uid(), attempt, spec.stopGraceS());
        return true;
    }

    private void stop(String uid, Attempt attempt, double grace) {
        withNews.add(attempt.machine());
        stop(Machine.Start.of(uid, attempt), grace);
    }

    void stop(Machine.Start start, double grace) {
        stops.computeIfAbsent(start.uid(), u -> new HashMap<>()).put(start, grace);
    }

    private void exited(Pipeline next, Attempt attempt, Machine machine, TaskReport report) {
        String uid = next.uid();
        switch (report.cause()) {
            case DONE -> {
                machine.completed();
                if (next.spec().shape() == Submission.Shape.SERVICE) {
                    next.lose(attempt);
                    // A service is never done: its task is started again until the user cancels.
                    next.pauseUntil(loop.timeOfDay() + Constants.REFUSED_START_MS);
                } else if (next.cancelled()) {
                    next.lose(attempt);
                } else {
                    if (next.spec().gang()) {
                        // The protocol: a gang completes together; if one task is done, every one is.
                        for (int task = 0; task < next.spec().tasks(); task++) {
                            next.complete(task);
                        }
                    }
                    next.finish(attempt);
                }
            }
            case ERROR -> {
                next.lose(attempt);
                LOG.info("{}/{} attempt {} failed on {}", uid, attempt.task(), attempt.number(), machine.name());
                next.fail(machine.name(), loop.timeOfDay());
                // A job that fails everywhere says little about a machine; several jobs failing on one do.
                if (machine.failed(uid) >= Constants.MACHINE_ERROR_JOBS && !machine.draining()) {
                    LOG.info("machine {} fails tasks of several jobs and is emptied", machine.name());
                    machine.drain();
                }
            }
            case NO_ROOM, BUSY, UNKNOWN -> {
                next.lose(attempt);
                LOG.info(
                        "{}/{} attempt {} refused by {}: {}",
                        uid,
                        attempt.task(),
                        attempt.number(),
                        machine.name(),
                        report.cause());
                next.pauseUntil(loop.timeOfDay() + Constants.REFUSED_START_MS);
            }
            case STOPPED, PEERS_GONE, ALONE -> {
                next.lose(attempt);
                if (report.cause() == TaskReport.Cause.ALONE) {
                    keepPlace(next.spec(), machine);
                }
                LOG.debug(
                        "{}/{} attempt {} ended on {}: {}{}",
                        uid,
                        attempt.task(),
                        attempt.number(),
                        machine.name(),
                        report.cause(),
                        report.saved() ? ", saved" : "");
            }
        }
    }

    /**
     * A gang's task waited in vain for mates that still fetch a large image. Its machine has the image; given to others
     * meanwhile, the gang would fetch again elsewhere and again wait in vain, by turns.
     */
    private void keepPlace(Submission spec, Machine machine) {
        MachineType type = catalog.types().get(machine.type());
        long fetchMs = type == null ? 0 : (long) (spec.imageGb() / type.fetchGbPerS() * 1000);
        reservations.keep(spec.uid(), machine.name(), Math.max(Constants.RESERVED_MS, fetchMs));
    }
}
