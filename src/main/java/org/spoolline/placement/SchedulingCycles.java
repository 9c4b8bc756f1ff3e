package org.spoolline.placement;

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
import org.spoolline.diagnostics.Counters;
import org.spoolline.diagnostics.Event;
import org.spoolline.diagnostics.StallMonitor;
import org.spoolline.fleet.Catalog;
import org.spoolline.fleet.Fleet;
import org.spoolline.fleet.MachineType;
import org.spoolline.intake.FinalRecord;
import org.spoolline.leadership.Freshness;
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;
import org.spoolline.state.StateClient;
import org.spoolline.workers.Evidence;
import org.spoolline.workers.Heartbeats;
import org.spoolline.workers.Machine;
import org.spoolline.workers.MachineTable;
import org.spoolline.workers.TaskReport;

/**
 * The leader's cycles of decisions. Each takes all evidence that has come since the last one, steps the pipelines,
 * places what is ready and rewrites every changed value once. SchedulingCycles widen with the number of values they change.
 */
public final class SchedulingCycles implements Heartbeats.DesiredState {
    /** Prefix of live pipelines. */
    public static final String JOBS = "job/";
    /** Prefix of lasting records of jobs that are over. */
    public static final String FINALS = "final/";

    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycles.class);

    private final Loop loop;
    private final Settings settings;
    private final StateClient state;
    private final Leadership leadership;
    private final Freshness freshness;
    private final Catalog catalog;
    private final MachineTable machines;
    private final JobTable jobs;
    private final JobWatch watch;
    private final Writes writes;
    private final Dependencies dependencies;
    private final Counters counters;
    private final StallMonitor stalls;
    private final StallInspector inspector;
    private Fleet fleet;
    private CycleListener cycleListener;

    private long term;
    private final AttemptEvaluator evaluator;
    private final CyclePacer pacer;
    private int lastBatch;
    private boolean lastCycleFailed;

    private boolean lastPlanFailed;

    private long lastCycleAt;
    private final GangLaunches gangLaunches;

    private final Set<String> withNews = new HashSet<>();
    /** Machines whose reports brought news since the last cycle. */
    private final Set<Machine> heard = new LinkedHashSet<>();
    /** Attempts that news is about and that no write has settled since, by job. */
    private final Map<String, Set<Attempt>> unsettled = new HashMap<>();
    /** Jobs whose value has no room for more attempts, with the time until which their turn goes to others. */
    private final Map<String, Long> fullUntil = new HashMap<>();

    private long sweptAt;
    /** When machines were last emptied in favour of others. */
    private long evacuatedAt;

    private final Reservations reservations;
    /** Gangs for which machines with their image have been cleared: once each, so that none waits for long. */
    private final Set<String> warm = new HashSet<>();

    /** Who is told what the cycles have brought about. */
    public interface CycleListener {
        /** The live pipelines are known under the present token. */
        void loaded();

        /** Values were written; with {@code settled}, nothing more is under way. These machines have new orders. */
        void written(boolean settled, Set<String> withNews);
    }

    public SchedulingCycles(
            Loop loop,
            Settings settings,
            StateClient state,
            Leadership leadership,
            Freshness freshness,
            Catalog catalog,
            MachineTable machines,
            JobTable jobs,
            Counters counters,
            StallMonitor stalls) {
        this.loop = loop;
        this.settings = settings;
        this.state = state;
        this.leadership = leadership;
        this.freshness = freshness;
        this.catalog = catalog;
        this.machines = machines;
        this.jobs = jobs;
        this.counters = counters;
        this.stalls = stalls;
        watch = new JobWatch(loop, state, freshness, jobs, () -> cycleListener.loaded(), this::requestCycle, counters);
        reservations = new Reservations(loop, jobs);
        evaluator = new AttemptEvaluator(loop, settings, catalog, machines, reservations, withNews);
        gangLaunches = new GangLaunches(jobs, evaluator);
        writes = new Writes(loop, state, leadership, jobs, new Stored());
        inspector = new StallInspector(leadership, catalog, jobs, watch, writes);
        dependencies = new Dependencies(loop, state, jobs, this::requestCycle);
        pacer = new CyclePacer(loop, settings, this::runCycle);
    }

    public void connect(Fleet toFleet, CycleListener toListener) {
        fleet = toFleet;
        cycleListener = toListener;
    }

    /** Forgets the snapshot of any earlier term and reads the live pipelines, which the election has fenced. */
    public void elected(long token) {
        term = token;
        // A former leader may have kept leases alive until its keep-alive time had run out.
        evaluator.begin(
                new Evidence(leadership.workerToken(), loop.now() + settings.keepAliveMs(), settings.silenceMs()));
        pacer.begin();
        freshness.begin();
        writes.begin(token);
        dependencies.begin(token);
        jobs.clear();
        machines.clear();
        gangLaunches.clear();
        withNews.clear();
        reservations.clear();
        warm.clear();
        heard.clear();
        unsettled.clear();
        fullUntil.clear();
        sweptAt = loop.now();
        evacuatedAt = loop.now();
        lastCycleFailed = false;
        lastPlanFailed = false;
        stalls.begin();
        watch.begin(token);
        tick(token);
    }

    public void deposed() {
        term = 0;
        writes.begin(0);
        dependencies.begin(0);
        watch.begin(0);
        jobs.clear();
        evaluator.begin(null);
    }

    /** Time alone is evidence: a cycle runs at least so often. */
    private void tick(long mine) {
        if (term != mine) {
            return;
        }
        if (loop.now() - lastCycleAt >= Constants.CYCLE_IDLE_MS) {
            requestCycle();
        }
        stalls.check(() ->
                inspector.inspect(machines.usable(loop.now(), settings.quietMs()), lastCycleFailed, lastPlanFailed));
        loop.after(Constants.CYCLE_IDLE_MS, () -> tick(mine));
    }

    /** Something has changed: a cycle will run soon, the later the more the last one had to do. */
    public void requestCycle() {
        if (term != 0) {
            pacer.request(lastBatch);
        }
    }

    /** A machine's report has brought news. */
    public void heard(Machine machine) {
        if (term != 0) {
            heard.add(machine);
            requestCycle();
        }
    }

    @Override
    public Double graceOf(Machine.Start start) {
        return evaluator.graceOf(start);
    }

    @Override
    public boolean mayLaunch(Machine.Start start) {
        return gangLaunches.mayLaunch(start);
    }

    private void runCycle() {
        if (!watch.loaded() || !leadership.valid()) {
            counters.count(watch.loaded() ? Event.CYCLE_WITHHELD_LEADERSHIP_LAPSED : Event.CYCLE_WITHHELD_JOBS_UNREAD);
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
        reservations.lapse();
        boolean sweep = loop.now() - sweptAt >= Constants.SWEEP_MS;
        if (sweep) {
            sweptAt = loop.now();
        }
        noteNews();
        dependencies.refresh();
        Map<String, Pipeline> working = new LinkedHashMap<>();
        Map<String, Writes.Change> changes = new LinkedHashMap<>();
        for (JobTable.Entry entry : jobs.entries()) {
            String uid = entry.confirmed().uid();
            if (entry.inFlight()) {
                putUnlessWaiting(working, entry.proposed());
                continue;
            }
            if (entry.confirmed().waiting() && !entry.cancelled()) {
                if (dependencies.verdictOf(entry.confirmed()) != Dependencies.Verdict.WAITS) {
                    Pipeline next = dependencies.step(entry.confirmed());
                    putUnlessWaiting(working, next);
                    changes.put(uid, new Writes.Change(entry, next));
                }
                continue;
            }
            Collection<Attempt> due = sweep || evaluatedWhole(entry)
                    ? entry.confirmed().attempts()
                    : unsettled.getOrDefault(uid, Set.of());
            Pipeline next =
                    due.isEmpty() && !entry.confirmed().cancelled() ? null : evaluator.tryToEvaluate(entry, due);
            putUnlessWaiting(working, next == null ? entry.confirmed() : next);
            if (next == null) {
                unsettled.remove(uid);
            } else {
                unsettled.computeIfAbsent(uid, u -> new HashSet<>()).addAll(due);
                changes.put(uid, new Writes.Change(entry, next));
            }
        }
        Placer.Plan plan = planned(working);
        for (Placer.Clearing clearing : plan.clearings()) {
            reservations.reserve(clearing);
            if (clearing.warm()) {
                warm.add(clearing.uid());
            }
            withNews.addAll(clearing.machines());
            clearing.leaving().forEach(evaluator::stop);
            LOG.info(
                    "clearing {} for {}: {} tasks leave",
                    clearing.machines(),
                    clearing.uid(),
                    clearing.leaving().size());
        }
        if (!plan.evacuated().isEmpty()) {
            evacuatedAt = loop.now();
            LOG.info(
                    "emptying {} machines, whose tasks fit others",
                    plan.evacuated().size());
            plan.evacuated().forEach(name -> machines.get(name).evacuate());
        }
        plan.placements().forEach((uid, placed) -> place(uid, placed, changes));
        lastBatch = changes.size();
        boolean all = writes.write(changes);
        Set<String> coming = machinesWithWorkComing();
        coming.addAll(plan.gathering());
        reservations.addMachinesTo(coming);
        fleet.pass(
                plan.wants(),
                ClusterSnapshot.askedCores(working.values(), loop.timeOfDay()),
                name -> jobs.anyOn(name) || coming.contains(name));
        // Reports whose launches wait for the state budget are held on: the next regular one is seconds away.
        tell(writes.settled() && all);
    }

    /** Jobs that wait for others take no part in the plan. */
    private static void putUnlessWaiting(Map<String, Pipeline> working, Pipeline job) {
        if (!job.waiting()) {
            working.put(job.uid(), job);
        }
    }

    /** What machines have reported concerns their attempts; it is judged until a write has settled it. */
    private void noteNews() {
        for (Machine machine : heard) {
            jobs.on(machine.name()).forEach((start, attempt) -> {
                unsettled.computeIfAbsent(start.uid(), u -> new HashSet<>()).add(attempt);
                learnImage(machine, start);
            });
        }
        heard.clear();
    }

    /** A task that has got beyond its fetch shows that its image is there: a new leader knows of no other images. */
    private void learnImage(Machine machine, Machine.Start start) {
        TaskReport report = machine.tasks().get(start);
        JobTable.Entry entry = jobs.get(start.uid());
        if (report != null
                && entry != null
                && report.phase() != TaskReport.Phase.FETCHING
                && report.phase() != TaskReport.Phase.EXITED
                && !machine.hasImage(entry.confirmed().spec().image())) {
            useImage(machine, entry.confirmed().spec());
        }
    }

    private void useImage(Machine machine, Submission spec) {
        MachineType type = catalog.types().get(machine.type());
        if (type != null) {
            machine.useImage(spec.image(), spec.imageGb(), type.cacheGb());
        }
    }

    /** Gangs, and whatever is being stopped, depend on more than the reports about single attempts. */
    private boolean evaluatedWhole(JobTable.Entry entry) {
        return entry.confirmed().spec().gang()
                || entry.cancelled()
                || evaluator.stopping(entry.confirmed().uid());
    }

    /** What has ended is written and told even when no plan can be made. */
    private Placer.Plan planned(Map<String, Pipeline> working) {
        try {
            Placer.Plan plan = Placer.plan(snapshot(working));
            lastPlanFailed = false;
            return plan;
        } catch (RuntimeException e) {
            lastPlanFailed = true;
            counters.count(Event.PLAN_FAILED);
            LOG.error("no plan can be made", e);
            return new Placer.Plan(Map.of(), List.of(), List.of(), Set.of(), Set.of());
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
                Set<Attempt> union = new HashSet<>(entry.confirmed().attempts());
                union.addAll(entry.proposed().attempts());
                holding.put(e.getKey(), List.copyOf(union));
            } else if (mendable(e.getValue()) && !fullUntil.containsKey(e.getKey())) {
                placeable.add(e.getKey());
            }
            all.add(e.getValue());
        }
        return new ClusterSnapshot(
                all,
                holding,
                placeable,
                machines.byName(),
                machines.usable(loop.now(), settings.quietMs()),
                reservations.jobsByMachine(),
                warm,
                dependencies.inheritedPriorities(),
                catalog.types(),
                settings,
                loop.now() - evacuatedAt >= Constants.EVACUATE_MS,
                loop.timeOfDay(),
                loop.now());
    }

    /**
     * A gang that lacks members is completed once those it has wait with their image, so that nobody waits long. A
     * machine that still lists an ended member would take the same attempt's next launch for a repetition.
     */
    private boolean mendable(Pipeline job) {
        if (!job.spec().gang() || job.attempts().isEmpty()) {
            return true;
        }
        return job.attempts().stream()
                        .allMatch(a -> evaluator.phase(Machine.Start.of(job.uid(), a), a) == TaskReport.Phase.GATHERING)
                && reservations.machinesOf(job.uid()).stream()
                        .map(machines::get)
                        .noneMatch(m -> m != null && !m.gone() && listsEnded(m, job.uid()));
    }

    private static boolean listsEnded(Machine machine, String uid) {
        return machine.tasks().values().stream()
                .anyMatch(t -> t.phase() == TaskReport.Phase.EXITED && t.uid().equals(uid));
    }

    private void place(String uid, List<Placer.Placement> placed, Map<String, Writes.Change> changes) {
        JobTable.Entry entry = jobs.get(uid);
        Writes.Change change = changes.get(uid);
        Pipeline next = change == null ? entry.confirmed().copy() : change.next();
        Submission spec = next.spec();
        long number = spec.gang() && !next.attempts().isEmpty()
                ? next.attempts().iterator().next().number()
                : next.nextAttempt();
        Set<Machine.Start> atHand = new HashSet<>();
        List<Attempt> added = new ArrayList<>();
        for (Placer.Placement p : placed) {
            Attempt attempt = new Attempt(
                    p.task(), number, p.machine().name(), p.machine().session());
            next.place(attempt);
            added.add(attempt);
            if (p.machine().hasImage(spec.image())) {
                atHand.add(Machine.Start.of(uid, attempt));
            }
            useImage(p.machine(), spec);
        }
        // The value has a limit; what does not fit waits for the next cycles, and completions always fit.
        while (!added.isEmpty() && !leavesRoom(next)) {
            int drop = spec.gang() ? added.size() : (added.size() + 1) / 2;
            for (int i = 0; i < drop; i++) {
                next.withdraw(added.remove(added.size() - 1));
            }
        }
        if (added.size() < placed.size()) {
            // The room planned for it would stand empty cycle after cycle while others wait for it.
            fullUntil.put(uid, loop.now() + Constants.VALUE_FULL_MS);
        }
        if (spec.gang()) {
            gangLaunches.launchAfterPeers(uid, atHand);
        }
        if (!added.isEmpty()) {
            counters.count(Event.TASK_PLACED, added.size());
            stalls.progress();
        }
        if (!added.isEmpty() && change == null) {
            changes.put(uid, new Writes.Change(entry, next));
        }
        LOG.info("placed {} of {} tasks of {} as attempt {}", added.size(), placed.size(), uid, number);
    }

    /** True while a value can take the ends of all its tasks, in any order, and a cancellation. */
    private boolean leavesRoom(Pipeline job) {
        int bytes = Json.bytes(job.encode()).length;
        int most = state.lastingValueBytes();
        return bytes <= most * Constants.VALUE_FILL
                && bytes + job.joinGrowthBytes() + Constants.VALUE_RESERVE_BYTES <= most;
    }

    /** Machines of attempts that are being written. */
    private Set<String> machinesWithWorkComing() {
        Set<String> coming = new HashSet<>();
        for (JobTable.Entry entry : jobs.entries()) {
            if (entry.inFlight()) {
                entry.proposed().attempts().forEach(a -> coming.add(a.machine()));
            }
        }
        return coming;
    }

    /** What becomes of the changes that a cycle has decided. */
    private final class Stored implements Writes.Listener {
        @Override
        public void sent(Writes.Change change) {
            unsettled.remove(change.uid());
        }

        @Override
        public void applied(Writes.Change change, long revision) {
            Pipeline next = change.next();
            Pipeline known = change.entry().confirmed();
            next.attempts().stream().filter(a -> !known.holds(a)).forEach(a -> withNews.add(a.machine()));
            if (change.over()) {
                LOG.info("{} is over: {}", next.uid(), next.finished() ? "done" : "cancelled");
                jobs.drop(next.uid(), revision);
                dependencies.recorded(next.uid(), FinalRecord.of(next));
                evaluator.forget(next.uid());
                gangLaunches.forget(next.uid());
                warm.remove(next.uid());
            } else {
                jobs.applied(change.entry(), revision);
            }
        }

        /** What was decided is not stored: the job is judged anew as a whole. */
        @Override
        public void abandoned(JobTable.Entry entry) {
            unsettled
                    .computeIfAbsent(entry.confirmed().uid(), u -> new HashSet<>())
                    .addAll(entry.confirmed().attempts());
        }

        @Override
        public void decided(boolean applied) {
            if (applied) {
                tell(false);
            }
            requestCycle();
        }
    }

    private void tell(boolean settled) {
        Set<String> news = new LinkedHashSet<>(withNews);
        withNews.clear();
        cycleListener.written(settled, news);
    }
}
