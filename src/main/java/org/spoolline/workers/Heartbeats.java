package org.spoolline.workers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.diagnostics.Counters;
import org.spoolline.diagnostics.Event;
import org.spoolline.leadership.Freshness;
import org.spoolline.leadership.Leadership;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.net.Loop;
import org.spoolline.pipeline.Attempt;
import org.spoolline.placement.JobTable;
import org.spoolline.settings.Constants;
import org.spoolline.settings.Settings;

/**
 * Answers the workers' check-ins. Wanted: each machine holds just the attempts stored for it; the orders are the
 * difference to what it reports. Launches travel only here, so none is ever carried out late.
 */
public final class Heartbeats {
    private static final Logger LOG = LoggerFactory.getLogger(Heartbeats.class);

    /** What the cycles want of stored attempts. */
    public interface DesiredState {
        /** The grace in seconds with which an attempt is to end; null for those that are to go on. */
        Double graceOf(Machine.Start start);

        /** False while a stored attempt had better not be launched yet. */
        boolean mayLaunch(Machine.Start start);
    }

    private final Loop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final long leaseMs;
    private final Leadership leadership;
    private final Freshness freshness;
    private final MachineTable machines;
    private final JobTable jobs;
    private final DesiredState desiredState;
    private final Consumer<Machine> news;
    private final Counters counters;
    private final Map<String, Held> waiting = new LinkedHashMap<>();
    /** Machines to be nudged once others have answered: a nudge takes a socket, and sockets are few. */
    private final Set<String> toNudge = new LinkedHashSet<>();

    private int nudging;
    private boolean ready;
    private long lastHeardAt;

    public Heartbeats(
            Loop loop,
            Http.Caller http,
            Settings settings,
            Leadership leadership,
            Freshness freshness,
            MachineTable machines,
            JobTable jobs,
            DesiredState desiredState,
            Consumer<Machine> news,
            Counters counters) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.leaseMs = settings.workers().leaseMs();
        this.leadership = leadership;
        this.freshness = freshness;
        this.machines = machines;
        this.jobs = jobs;
        this.desiredState = desiredState;
        this.news = news;
        this.counters = counters;
    }

    /** True when a worker has come here lately, whatever it was answered. */
    public boolean hearsWorkers() {
        return loop.now() - lastHeardAt < settings.deafMs();
    }

    /** True when machines should be reporting, and none has for too long: the workers may not get through to us. */
    public boolean deaf() {
        return !hearsWorkers() && machines.all().stream().anyMatch(m -> !m.gone());
    }

    /** Orders are given only once the live pipelines have been read under the present token. */
    public void ready(boolean value) {
        ready = value;
    }

    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        if (!leadership.leads()) {
            // Unread: after a crash of all controllers a thousand workers come at once to processes that are cold.
            lastHeardAt = loop.now();
            redirect(answer);
            return;
        }
        Report report = Report.parse(request.body());
        if (report == null) {
            counters.count(Event.HEARTBEAT_MALFORMED);
            answer.accept(Http.Response.of(400, Json.error("not a check-in")));
            return;
        }
        leadership.workerSawToken(report.token());
        if (!leadership.mayKeepAlive()) {
            lastHeardAt = loop.now();
            redirect(answer);
            return;
        }
        Machine machine = machines.findOrAdd(report.machine(), report.type(), report.zone(), report.spot(), loop.now());
        if (machine.gone()) {
            // Its attempts may have been started elsewhere: renewing its lease could bring a task to life twice.
            counters.count(Event.HEARTBEAT_OF_GONE_MACHINE);
            answer.accept(new Http.Response(503, Json.error("machine is gone"), 0));
            return;
        }
        if (!leadership.valid() && machine.shouldTryOthers(loop.now(), leaseMs / Constants.TRIES_OF_OTHERS_PER_LEASE)) {
            // Without the state service nobody here can tell an outage from a cut. A worker that asks the others and
            // comes back has found no new leader; one that stays away has, and need not wait for our time to end.
            counters.count(Event.HEARTBEAT_SENT_TO_OTHERS);
            answer.accept(Http.Response.of(503, Json.error("no contact with the state service")));
            return;
        }
        boolean first = !machine.heard();
        Machine.Brings brings = machine.accept(report, leaseMs, loop.now());
        if (brings == Machine.Brings.NOTHING) {
            // A late copy: the worker has long gone on, so the answer reaches nobody. It renews nothing.
            counters.count(Event.HEARTBEAT_OUTDATED);
            answer.accept(Http.Response.of(503, Json.error("an older report")));
            return;
        }
        lastHeardAt = loop.now();
        if (first) {
            machine.busyAt(loop.now());
            LOG.debug(
                    "first heartbeat of machine {} {} in {}, session {}",
                    machine.name(),
                    machine.type(),
                    machine.zone(),
                    machine.session());
        }
        // This answer brings it what the nudge would have it ask for.
        toNudge.remove(machine.name());
        Held held = new Held(machine, answer);
        Held older = waiting.remove(machine.name());
        if (older != null) {
            older.answer(false);
        }
        if (!freshness.viewKnown() || (idleNewcomer(machine, first) || bringsEnds(machine)) && leadership.valid()) {
            // Before the jobs are read, nobody here can tell whose lease may be renewed; and where room has come free,
            // the
            // next task's launch is only a commit away, the next report seconds.
            waiting.put(machine.name(), held);
            loop.after(Constants.HOLD_MS, () -> release(held));
        } else {
            held.answer(true);
        }
        if (brings == Machine.Brings.NEWS) {
            news.accept(machine);
        }
    }

    /** A machine that a new leader hears first while tasks run on it gains nothing by a held answer, and its lease ends. */
    private static boolean idleNewcomer(Machine machine, boolean first) {
        return first && machine.tasks().isEmpty();
    }

    private boolean bringsEnds(Machine machine) {
        Map<Machine.Start, Attempt> stored = jobs.on(machine.name());
        return machine.tasks().entrySet().stream()
                .anyMatch(t -> t.getValue().phase() == TaskReport.Phase.EXITED && stored.containsKey(t.getKey()));
    }

    /** Answers held reports of machines that have launches to carry out by now; with {@code all}, every one. */
    public void flush(boolean all) {
        for (Held held : List.copyOf(waiting.values())) {
            if (all || launchable(held.machine)) {
                release(held);
            }
        }
    }

    private void release(Held held) {
        if (!freshness.viewKnown() && loop.now() - held.since < Constants.LOAD_HOLD_MS) {
            loop.after(Constants.HOLD_MS, () -> release(held));
        } else if (waiting.remove(held.machine.name(), held)) {
            held.answer(true);
        }
    }

    /** A report whose answer is held back for a moment; it is answered once. */
    private final class Held {
        private final Machine machine;
        private final long session;
        private final long tick;
        private final long since = loop.now();
        private final Consumer<Http.Response> answer;

        Held(Machine machine, Consumer<Http.Response> answer) {
            this.machine = machine;
            this.session = machine.session();
            this.tick = machine.tick();
            this.answer = answer;
        }

        void answer(boolean withOrders) {
            if (!freshness.mayRenewLeases() || machine.gone()) {
                counters.count(machine.gone() ? Event.HEARTBEAT_OF_GONE_MACHINE : Event.HEARTBEAT_VIEW_TOO_OLD);
                answer.accept(Http.Response.of(503, Json.error("too long without contact to renew a lease")));
                return;
            }
            long token = leadership.workerToken() + machine.nudges();
            ObjectNode body = Json.object().put("baton", token);
            ArrayNode orders = body.putArray("orders");
            if (withOrders && ready && machine.session() == session && machine.tick() == tick) {
                if (freshness.mayLaunch()) {
                    give(machine, orders);
                } else {
                    counters.count(Event.LAUNCH_WITHHELD_VIEW_TOO_OLD);
                    if (freshness.mayStopCancelled()) {
                        stopCancelled(machine, orders);
                    }
                }
            }
            machine.answered(token, loop.now());
            counters.count(Event.HEARTBEAT_RENEWED);
            answer.accept(Http.Response.of(200, Json.bytes(body)));
        }
    }

    /**
     * Makes machines report at once, so that orders reach them without waiting for the regular report: a command
     * without orders that shows a higher token. It starts nothing, so it may arrive as late as it likes. A worker
     * heeds a higher token once per half of its lease. Only so many are under way at once; the rest take turns.
     */
    public void nudge(Collection<String> names) {
        toNudge.addAll(names);
        while (nudging < settings.nudgesAtOnce() && !toNudge.isEmpty()) {
            String name = toNudge.iterator().next();
            toNudge.remove(name);
            nudge(name);
        }
    }

    private void nudge(String name) {
        Machine machine = machines.get(name);
        if (machine == null
                || machine.gone()
                || waiting.containsKey(name)
                || !leadership.valid()
                || machine.address().isEmpty()
                || loop.now() - machine.nudgedAt() <= leaseMs / 2 + Constants.MARGIN_MS) {
            return;
        }
        machine.nudge(loop.now());
        ObjectNode body = Json.object()
                .put("baton", leadership.workerToken() + machine.nudges())
                .put("shift", machine.session());
        body.putArray("orders");
        nudging++;
        http.call(machine.address(), "POST", "/commands", Json.bytes(body), Constants.NUDGE_TIMEOUT_MS, reply -> {
            nudging--;
            nudge(Set.of());
        });
    }

    private boolean launchable(Machine machine) {
        for (Map.Entry<Machine.Start, Attempt> e : jobs.on(machine.name()).entrySet()) {
            if (e.getValue().session() == machine.session() && !machine.tasks().containsKey(e.getKey())) {
                return true;
            }
        }
        return false;
    }

    private void redirect(Consumer<Http.Response> answer) {
        String leader = leadership.knownLeader();
        counters.count(leader == null ? Event.HEARTBEAT_WITHOUT_LEADER : Event.HEARTBEAT_REDIRECTED);
        if (leader == null) {
            answer.accept(Http.Response.of(503, Json.error("no leader is known")));
        } else {
            answer.accept(Http.Response.of(421, Json.bytes(Json.object().put("foreman", leader))));
        }
    }

    private void give(Machine machine, ArrayNode orders) {
        Map<Machine.Start, Attempt> stored = jobs.on(machine.name());
        for (Map.Entry<Machine.Start, TaskReport> listed : machine.tasks().entrySet()) {
            Machine.Start start = listed.getKey();
            TaskReport t = listed.getValue();
            Attempt attempt = stored.get(start);
            boolean kept = attempt != null && attempt.session() == machine.session();
            if (t.phase() == TaskReport.Phase.EXITED) {
                if (!kept) {
                    order(orders, "clear", start);
                }
                continue;
            }
            Double grace = kept ? grace(start, attempt) : Double.valueOf(0);
            if (grace != null && !(t.phase() == TaskReport.Phase.SAVING && grace > 0)) {
                stop(orders, machine, start, grace);
            }
        }
        for (Map.Entry<Machine.Start, Attempt> e : stored.entrySet()) {
            Machine.Start start = e.getKey();
            if (orders.size() < Constants.MAX_ORDERS
                    && e.getValue().session() == machine.session()
                    && !machine.tasks().containsKey(start)
                    && grace(start, e.getValue()) == null
                    && mayLaunch(start)
                    && noOtherAttempt(machine, start)) {
                counters.count(Event.LAUNCH_ORDERED);
                order(orders, "launch", start);
                machine.launched(start);
                LOG.debug("launch {}/{} attempt {} on {}", start.uid(), start.task(), start.attempt(), machine.name());
            }
        }
    }

    private boolean mayLaunch(Machine.Start start) {
        boolean may = desiredState.mayLaunch(start);
        if (!may) {
            counters.count(Event.LAUNCH_WITHHELD_GANG_FETCHES);
        }
        return may;
    }

    /** Without a young view: the ends of tasks whose jobs are known to be cancelled, and no more. */
    private void stopCancelled(Machine machine, ArrayNode orders) {
        machine.tasks().forEach((start, report) -> {
            JobTable.Entry entry = jobs.get(start.uid());
            if (report.phase() != TaskReport.Phase.EXITED && entry != null && entry.cancelled()) {
                stop(orders, machine, start, 0);
            }
        });
    }

    private void stop(ArrayNode orders, Machine machine, Machine.Start start, double grace) {
        order(orders, "kill", start).put("windDownS", grace);
        counters.count(Event.STOP_ORDERED);
        LOG.debug(
                "stop {}/{} attempt {} on {}, grace {} s",
                start.uid(),
                start.task(),
                start.attempt(),
                machine.name(),
                grace);
    }

    /** Null when the attempt is to go on, else the grace its end may take. */
    private Double grace(Machine.Start start, Attempt attempt) {
        JobTable.Entry entry = jobs.get(start.uid());
        if (entry == null || entry.cancelled() || !entry.holds(attempt)) {
            return 0.0;
        }
        return desiredState.graceOf(start);
    }

    private static boolean noOtherAttempt(Machine machine, Machine.Start wanted) {
        for (TaskReport t : machine.tasks().values()) {
            if (t.task() == wanted.task()
                    && t.uid().equals(wanted.uid())
                    && t.attempt() != wanted.attempt()
                    && t.phase() != TaskReport.Phase.EXITED) {
                return false;
            }
        }
        return true;
    }

    private static ObjectNode order(ArrayNode orders, String verb, Machine.Start start) {
        return orders.addObject()
                .put("verb", verb)
                .put("slip", start.uid() + "/" + start.task())
                .put("try", start.attempt());
    }
}
