package org.spoolline.scheduler;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.autoscaler.Autoscaler;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.MachineType;
import org.spoolline.cluster.MachineTypeCatalog;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.job.JobWatcher;
import org.spoolline.job.TerminalRecord;
import org.spoolline.kvstore.KeyValueStoreClient;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.metrics.StallMonitor;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.reconcile.DesiredState;
import org.spoolline.reconcile.TerminationProof;

/**
 * The leader's cycles of decisions. Each takes all evidence that has come since the last one, steps the pipelines,
 * places what is ready and rewrites every changed value once. Cycles widen with the number of values they change.
 */
public final class Scheduler implements DesiredState {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

    private final EventLoop loop;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final MachineTypeCatalog catalog;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final JobWatcher jobWatcher;
    private final PipelineWriter writer;
    private final DependencyTracker dependencies;
    private final Counters counters;
    private final StallMonitor stalls;
    private final StallInspector inspector;
    private Autoscaler autoscaler;
    private CycleListener cycleListener;

    private long term;
    private final AttemptReconciler reconciler;
    private final CyclePacer pacer;
    private int lastBatch;
    private boolean lastCycleFailed;

    private boolean lastPlanFailed;

    private long lastCycleAt;
    private final GangLaunchOrder gangLaunches;

    private final Set<String> machinesWithNewOrders = new HashSet<>();
    /** Machines whose reports brought news since the last cycle. */
    private final Set<Machine> changedMachines = new LinkedHashSet<>();
    /** Attempts that news is about and that no write has settled since, by job. */
    private final Map<String, Set<Attempt>> dirtyAttempts = new HashMap<>();
    /** Jobs whose value has no room for more attempts, with the time until which their turn goes to others. */
    private final Map<String, Long> fullUntil = new HashMap<>();

    private long lastFullReconcileAt;
    /** When machines were last emptied in favour of others. */
    private long lastConsolidationAt;

    private final Reservations reservations;
    /** Gangs for which machines with their image have been cleared: once each, so that none waits for long. */
    private final Set<String> gangsPreemptedForImage = new HashSet<>();

    /** Who is told what the cycles have brought about. */
    public interface CycleListener {
        /** The live pipelines are known under the present token. */
        void jobsLoaded();

        /** Values were written; with {@code settled}, nothing more is under way. These machines have new orders. */
        void valuesWritten(boolean settled, Set<String> withNews);
    }

    public Scheduler(
            EventLoop loop,
            Settings settings,
            KeyValueStoreClient store,
            LeaderElection election,
            StalenessBound staleness,
            MachineTypeCatalog catalog,
            MachineRegistry machines,
            JobTable jobs,
            Counters counters,
            StallMonitor stalls) {
        this.loop = loop;
        this.settings = settings;
        this.store = store;
        this.election = election;
        this.staleness = staleness;
        this.catalog = catalog;
        this.machines = machines;
        this.jobs = jobs;
        this.counters = counters;
        this.stalls = stalls;
        jobWatcher = new JobWatcher(
                loop, store, staleness, jobs, () -> cycleListener.jobsLoaded(), this::requestCycle, counters);
        reservations = new Reservations(loop, jobs);
        reconciler = new AttemptReconciler(loop, settings, catalog, machines, reservations, machinesWithNewOrders);
        gangLaunches = new GangLaunchOrder(jobs, reconciler);
        writer = new PipelineWriter(loop, store, election, jobs, new Stored());
        inspector = new StallInspector(election, catalog, jobs, jobWatcher, writer);
        dependencies = new DependencyTracker(loop, store, jobs, this::requestCycle);
        pacer = new CyclePacer(loop, settings, this::runCycle);
    }

    public void connect(Autoscaler toAutoscaler, CycleListener toListener) {
        autoscaler = toAutoscaler;
        cycleListener = toListener;
    }

    /** Forgets the snapshot of any earlier term and reads the live pipelines, which the election has fenced. */
    public void elected(long token) {
        term = token;
        // A former leader may have kept leases alive until its keep-alive time had run out.
        reconciler.begin(new TerminationProof(
                election.workerFencingToken(), loop.now() + settings.keepAliveMs(), settings.leaseExpiryMs()));
        pacer.begin();
        staleness.reset();
        writer.begin(token);
        dependencies.begin(token);
        jobs.clear();
        machines.clear();
        gangLaunches.clear();
        machinesWithNewOrders.clear();
        reservations.clear();
        gangsPreemptedForImage.clear();
        changedMachines.clear();
        dirtyAttempts.clear();
        fullUntil.clear();
        lastFullReconcileAt = loop.now();
        lastConsolidationAt = loop.now();
        lastCycleFailed = false;
        lastPlanFailed = false;
        stalls.begin();
        jobWatcher.beginTerm(token);
        tick(token);
    }

    public void steppedDown() {
        term = 0;
        writer.begin(0);
        dependencies.begin(0);
        jobWatcher.beginTerm(0);
        jobs.clear();
        reconciler.begin(null);
    }

    /** Time alone is evidence: a cycle runs at least so often. */
    private void tick(long mine) {
        if (term != mine) {
            return;
        }
        if (loop.now() - lastCycleAt >= Constants.Cycle.CYCLE_IDLE_MS) {
            requestCycle();
        }
        stalls.check(() -> inspector.inspect(
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()), lastCycleFailed, lastPlanFailed));
        loop.after(Constants.Cycle.CYCLE_IDLE_MS, () -> tick(mine));
    }

    /** Something has changed: a cycle will run soon, the later the more the last one had to do. */
    public void requestCycle() {
        if (term != 0) {
            pacer.request(lastBatch);
        }
    }

    /** A machine's report has brought news. */
    public void machineChanged(Machine machine) {
        if (term != 0) {
            changedMachines.add(machine);
            requestCycle();
        }
    }

    @Override
    public Double graceOf(AttemptId attemptId) {
        return reconciler.graceOf(attemptId);
    }

    @Override
    public boolean mayLaunch(AttemptId attemptId) {
        return gangLaunches.mayLaunch(attemptId);
    }

    private void runCycle() {
        if (!jobWatcher.loaded() || !election.hasValidLease()) {
            counters.count(jobWatcher.loaded() ? Event.CYCLE_SKIPPED_LEASE_EXPIRED : Event.CYCLE_SKIPPED_JOBS_UNREAD);
            return;
        }
        lastCycleFailed = true;
        try {
            decide();
            lastCycleFailed = false;
        } finally {
            counters.count(lastCycleFailed ? Event.CYCLE_FAILED : Event.CYCLE_COMPLETED);
        }
    }

    private void decide() {
        lastCycleAt = loop.now();
        reservations.expire();
        boolean sweep = loop.now() - lastFullReconcileAt >= Constants.Cycle.FULL_RECONCILE_MS;
        if (sweep) {
            lastFullReconcileAt = loop.now();
        }
        collectDirtyAttempts();
        dependencies.refresh();
        Map<String, Pipeline> working = new LinkedHashMap<>();
        Map<String, PipelineWriter.PendingWrite> changes = new LinkedHashMap<>();
        for (JobTable.Entry entry : jobs.entries()) {
            String jobId = entry.committed().jobId();
            if (entry.inFlight()) {
                putUnlessWaiting(working, entry.proposed());
                continue;
            }
            if (entry.committed().hasUnsatisfiedDependencies() && !entry.cancelled()) {
                if (dependencies.verdictOf(entry.committed()) != DependencyTracker.Verdict.UNSATISFIED) {
                    Pipeline next = dependencies.step(entry.committed());
                    putUnlessWaiting(working, next);
                    changes.put(jobId, new PipelineWriter.PendingWrite(entry, next));
                }
                continue;
            }
            Collection<Attempt> due = sweep || needsFullReconcile(entry)
                    ? entry.committed().attempts()
                    : dirtyAttempts.getOrDefault(jobId, Set.of());
            Pipeline next =
                    due.isEmpty() && !entry.committed().cancelled() ? null : reconciler.tryReconcile(entry, due);
            putUnlessWaiting(working, next == null ? entry.committed() : next);
            if (next == null) {
                dirtyAttempts.remove(jobId);
            } else {
                dirtyAttempts.computeIfAbsent(jobId, u -> new HashSet<>()).addAll(due);
                changes.put(jobId, new PipelineWriter.PendingWrite(entry, next));
            }
        }
        SchedulingPlan plan = planned(working);
        for (Preemption preemption : plan.preemptions()) {
            reservations.reserve(preemption);
            if (preemption.forImageLocality()) {
                gangsPreemptedForImage.add(preemption.jobId());
            }
            machinesWithNewOrders.addAll(preemption.machines());
            preemption.evicted().forEach(reconciler::stop);
            LOG.info(
                    "clearing {} for {}: {} tasks leave",
                    preemption.machines(),
                    preemption.jobId(),
                    preemption.evicted().size());
        }
        if (!plan.evacuated().isEmpty()) {
            lastConsolidationAt = loop.now();
            LOG.info(
                    "emptying {} machines, whose tasks fit others",
                    plan.evacuated().size());
            plan.evacuated().forEach(name -> machines.get(name).evacuate());
        }
        plan.placements().forEach((jobId, placed) -> place(jobId, placed, changes));
        lastBatch = changes.size();
        boolean all = writer.write(changes);
        Set<String> coming = machinesOfPendingAttempts();
        coming.addAll(plan.accumulating());
        reservations.addMachinesTo(coming);
        autoscaler.reconcile(
                plan.demands(),
                ClusterSnapshot.recentlyRequestedCores(working.values(), loop.timeOfDay()),
                name -> jobs.hasAttemptsOn(name) || coming.contains(name));
        // Reports whose launches wait for the state budget are held on: the next regular one is seconds away.
        tell(writer.idle() && all);
    }

    /** Jobs that wait for others take no part in the plan. */
    private static void putUnlessWaiting(Map<String, Pipeline> working, Pipeline job) {
        if (!job.hasUnsatisfiedDependencies()) {
            working.put(job.jobId(), job);
        }
    }

    /** What machines have reported concerns their attempts; it is judged until a write has settled it. */
    private void collectDirtyAttempts() {
        for (Machine machine : changedMachines) {
            jobs.attemptsOn(machine.name()).forEach((attemptId, attempt) -> {
                dirtyAttempts
                        .computeIfAbsent(attemptId.jobId(), u -> new HashSet<>())
                        .add(attempt);
                learnImage(machine, attemptId);
            });
        }
        changedMachines.clear();
    }

    /** A task that has got beyond its fetch shows that its image is there: a new leader knows of no other images. */
    private void learnImage(Machine machine, AttemptId attemptId) {
        TaskStatus status = machine.tasks().get(attemptId);
        JobTable.Entry entry = jobs.get(attemptId.jobId());
        if (status != null
                && entry != null
                && status.phase() != TaskStatus.Phase.FETCHING_IMAGE
                && status.phase() != TaskStatus.Phase.EXITED
                && !machine.hasImage(entry.committed().spec().image())) {
            useImage(machine, entry.committed().spec());
        }
    }

    private void useImage(Machine machine, Submission spec) {
        MachineType type = catalog.types().get(machine.type());
        if (type != null) {
            machine.recordImageUse(spec.image(), spec.imageGb(), type.cacheGb());
        }
    }

    /** Gangs, and whatever is being stopped, depend on more than the reports about single attempts. */
    private boolean needsFullReconcile(JobTable.Entry entry) {
        return entry.committed().spec().gang()
                || entry.cancelled()
                || reconciler.stopping(entry.committed().jobId());
    }

    /** What has ended is written and told even when no plan can be made. */
    private SchedulingPlan planned(Map<String, Pipeline> working) {
        try {
            SchedulingPlan plan = PlacementPlanner.plan(snapshot(working));
            lastPlanFailed = false;
            return plan;
        } catch (RuntimeException e) {
            lastPlanFailed = true;
            counters.count(Event.PLAN_FAILED);
            LOG.error("no plan can be made", e);
            return SchedulingPlan.empty();
        }
    }

    private ClusterSnapshot snapshot(Map<String, Pipeline> working) {
        fullUntil.values().removeIf(until -> until <= loop.now());
        Map<String, List<Attempt>> holding = new HashMap<>();
        Set<String> placeable = new HashSet<>();
        List<Pipeline> all = new ArrayList<>();
        for (Map.Entry<String, Pipeline> e : working.entrySet()) {
            JobTable.Entry entry = jobs.get(e.getKey());
            if (entry.inFlight()) {
                Set<Attempt> union = new HashSet<>(entry.committed().attempts());
                union.addAll(entry.proposed().attempts());
                holding.put(e.getKey(), List.copyOf(union));
            } else if (canBeCompleted(e.getValue()) && !fullUntil.containsKey(e.getKey())) {
                placeable.add(e.getKey());
            }
            all.add(e.getValue());
        }
        return new ClusterSnapshot(
                all,
                holding,
                placeable,
                machines.byName(),
                machines.schedulable(loop.now(), settings.heartbeatOverdueMs()),
                reservations.jobsByMachine(),
                gangsPreemptedForImage,
                dependencies.inheritedPriorities(),
                catalog.types(),
                settings,
                loop.now() - lastConsolidationAt >= Constants.Placement.CONSOLIDATION_INTERVAL_MS,
                loop.timeOfDay(),
                loop.now());
    }

    /**
     * A gang that lacks members is completed once those it has wait with their image, so that nobody waits long. A
     * machine that still lists an ended member would take the same attempt's next launch for a repetition.
     */
    private boolean canBeCompleted(Pipeline job) {
        if (!job.spec().gang() || job.attempts().isEmpty()) {
            return true;
        }
        return job.attempts().stream()
                        .allMatch(attempt -> reconciler.phase(AttemptId.of(job.jobId(), attempt), attempt)
                                == TaskStatus.Phase.WAITING_FOR_GANG)
                && reservations.machinesOf(job.jobId()).stream()
                        .map(machines::get)
                        .noneMatch(machine ->
                                machine != null && !machine.terminated() && listsEnded(machine, job.jobId()));
    }

    private static boolean listsEnded(Machine machine, String jobId) {
        return machine.tasks().values().stream()
                .anyMatch(status -> status.phase() == TaskStatus.Phase.EXITED
                        && status.jobId().equals(jobId));
    }

    private void place(String jobId, List<Placement> placed, Map<String, PipelineWriter.PendingWrite> changes) {
        JobTable.Entry entry = jobs.get(jobId);
        PipelineWriter.PendingWrite change = changes.get(jobId);
        Pipeline next = change == null ? entry.committed().copy() : change.next();
        Submission spec = next.spec();
        long number = spec.gang() && !next.attempts().isEmpty()
                ? next.attempts().iterator().next().number()
                : next.nextAttemptNumber();
        Set<AttemptId> atHand = new HashSet<>();
        List<Attempt> added = new ArrayList<>();
        for (Placement p : placed) {
            Attempt attempt = new Attempt(
                    p.task(), number, p.machine().name(), p.machine().incarnation());
            next.addAttempt(attempt);
            added.add(attempt);
            if (p.machine().hasImage(spec.image())) {
                atHand.add(AttemptId.of(jobId, attempt));
            }
            useImage(p.machine(), spec);
        }
        // The value has a limit; what does not fit waits for the next cycles, and completions always fit.
        while (!added.isEmpty() && !leavesRoom(next)) {
            int drop = spec.gang() ? added.size() : (added.size() + 1) / 2;
            for (int i = 0; i < drop; i++) {
                next.withdrawAttempt(added.remove(added.size() - 1));
            }
        }
        if (added.size() < placed.size()) {
            // The room planned for it would stand empty cycle after cycle while others wait for it.
            fullUntil.put(jobId, loop.now() + Constants.Cycle.VALUE_FULL_BACKOFF_MS);
        }
        if (spec.gang()) {
            gangLaunches.launchAfterPeers(jobId, atHand);
        }
        if (!added.isEmpty()) {
            counters.count(Event.TASK_PLACED, added.size());
            stalls.progress();
        }
        if (!added.isEmpty() && change == null) {
            changes.put(jobId, new PipelineWriter.PendingWrite(entry, next));
        }
        LOG.info("placed {} of {} tasks of {} as attempt {}", added.size(), placed.size(), jobId, number);
    }

    /** True while a value can take the ends of all its tasks, in any order, and a cancellation. */
    private boolean leavesRoom(Pipeline job) {
        int bytes = Json.bytes(job.encode()).length;
        int most = store.safeValueBytes();
        return bytes <= most * Constants.Job.VALUE_FILL
                && bytes + job.joinGrowthBytes() + Constants.Job.VALUE_RESERVE_BYTES <= most;
    }

    /** Machines of attempts that are being written. */
    private Set<String> machinesOfPendingAttempts() {
        Set<String> coming = new HashSet<>();
        for (JobTable.Entry entry : jobs.entries()) {
            if (entry.inFlight()) {
                entry.proposed().attempts().forEach(attempt -> coming.add(attempt.machine()));
            }
        }
        return coming;
    }

    /** What becomes of the changes that a cycle has decided. */
    private final class Stored implements PipelineWriter.Listener {
        @Override
        public void sent(PipelineWriter.PendingWrite change) {
            dirtyAttempts.remove(change.jobId());
        }

        @Override
        public void applied(PipelineWriter.PendingWrite change, long revision) {
            Pipeline next = change.next();
            Pipeline known = change.entry().committed();
            next.attempts().stream()
                    .filter(attempt -> !known.hasAttempt(attempt))
                    .forEach(attempt -> machinesWithNewOrders.add(attempt.machine()));
            if (change.terminal()) {
                LOG.info("{} is over: {}", next.jobId(), next.succeeded() ? "done" : "cancelled");
                jobs.remove(next.jobId(), revision);
                dependencies.recorded(next.jobId(), TerminalRecord.of(next));
                reconciler.forget(next.jobId());
                gangLaunches.forget(next.jobId());
                gangsPreemptedForImage.remove(next.jobId());
            } else {
                jobs.commitProposed(change.entry(), revision);
            }
        }

        /** What was decided is not stored: the job is judged anew as a whole. */
        @Override
        public void abandoned(JobTable.Entry entry) {
            dirtyAttempts
                    .computeIfAbsent(entry.committed().jobId(), u -> new HashSet<>())
                    .addAll(entry.committed().attempts());
        }

        @Override
        public void transactionDecided(boolean applied) {
            if (applied) {
                tell(false);
            }
            requestCycle();
        }
    }

    private void tell(boolean settled) {
        Set<String> news = new LinkedHashSet<>(machinesWithNewOrders);
        machinesWithNewOrders.clear();
        cycleListener.valuesWritten(settled, news);
    }
}
