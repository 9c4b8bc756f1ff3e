package org.spoolline.worker;

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
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.net.Json;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.reconcile.DesiredState;

/**
 * Answers the workers' check-ins. Wanted: each machine holds just the attempts stored for it; the orders are the
 * difference to what it reports. Launches travel only here, so none is ever carried out late.
 */
public final class HeartbeatService {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatService.class);

    private final EventLoop loop;
    private final Http.Caller http;
    private final Settings settings;
    private final long leaseMs;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final DesiredState desiredState;
    private final Consumer<Machine> onChange;
    private final Counters counters;
    private final Map<String, Held> heldResponses = new LinkedHashMap<>();
    /** Machines to be nudged once others have answered: a nudge takes a socket, and sockets are few. */
    private final Set<String> earlyHeartbeatsPending = new LinkedHashSet<>();

    private int earlyHeartbeatsInFlight;
    private boolean setReady;
    private long lastHeartbeatAt;

    public HeartbeatService(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            LeaderElection election,
            StalenessBound staleness,
            MachineRegistry machines,
            JobTable jobs,
            DesiredState desiredState,
            Consumer<Machine> news,
            Counters counters) {
        this.loop = loop;
        this.http = http;
        this.settings = settings;
        this.leaseMs = settings.workers().leaseMs();
        this.election = election;
        this.staleness = staleness;
        this.machines = machines;
        this.jobs = jobs;
        this.desiredState = desiredState;
        this.onChange = news;
        this.counters = counters;
    }

    /** True when a worker has come here lately, whatever it was answered. */
    public boolean receivesHeartbeats() {
        return loop.now() - lastHeartbeatAt < settings.heartbeatsMissingMs();
    }

    /** True when machines should be reporting, and none has for too long: the workers may not get through to us. */
    public boolean workersUnreachable() {
        return !receivesHeartbeats() && machines.all().stream().anyMatch(machine -> !machine.terminated());
    }

    /** Orders are given only once the live pipelines have been read under the present token. */
    public void setReady(boolean value) {
        setReady = value;
    }

    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        if (!election.isLeader()) {
            // Unread: after a crash of all controllers a thousand workers come at once to processes that are cold.
            lastHeartbeatAt = loop.now();
            redirect(answer);
            return;
        }
        Heartbeat heartbeat = HeartbeatCodec.parse(request.body());
        if (heartbeat == null) {
            counters.count(Event.HEARTBEAT_MALFORMED);
            answer.accept(Http.Response.of(400, Json.error("not a check-in")));
            return;
        }
        election.observeWorkerToken(heartbeat.token());
        if (!election.mayKeepAlive()) {
            lastHeartbeatAt = loop.now();
            redirect(answer);
            return;
        }
        Machine machine = machines.getOrRegister(
                heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), loop.now());
        if (machine.terminated()) {
            // Its attempts may have been started elsewhere: renewing its lease could bring a task to life twice.
            counters.count(Event.HEARTBEAT_OF_TERMINATED_MACHINE);
            answer.accept(new Http.Response(503, Json.error("machine is gone"), 0));
            return;
        }
        if (!election.hasValidLease()
                && machine.shouldProbeForLeader(loop.now(), leaseMs / Constants.Heartbeat.LEADER_PROBES_PER_LEASE)) {
            // Without the state service nobody here can tell an outage from a cut. A worker that asks the others and
            // comes back has found no new leader; one that stays away has, and need not wait for our time to end.
            counters.count(Event.HEARTBEAT_LEADER_PROBE);
            answer.accept(Http.Response.of(503, Json.error("no contact with the state service")));
            return;
        }
        boolean first = !machine.hasReported();
        Machine.HeartbeatChange brings = machine.accept(heartbeat, leaseMs, loop.now());
        if (brings == Machine.HeartbeatChange.STALE) {
            // A late copy: the worker has long gone on, so the answer reaches nobody. It renews nothing.
            counters.count(Event.HEARTBEAT_STALE);
            answer.accept(Http.Response.of(503, Json.error("an older report")));
            return;
        }
        lastHeartbeatAt = loop.now();
        if (first) {
            machine.markBusy(loop.now());
            LOG.debug(
                    "first heartbeat of machine {} {} in {}, session {}",
                    machine.name(),
                    machine.type(),
                    machine.zone(),
                    machine.incarnation());
        }
        // This answer brings it what the nudge would have it ask for.
        earlyHeartbeatsPending.remove(machine.name());
        Held held = new Held(machine, answer);
        Held older = heldResponses.remove(machine.name());
        if (older != null) {
            older.answer(false);
        }
        if (!staleness.hasCompleteView()
                || (idleNewcomer(machine, first) || bringsEnds(machine)) && election.hasValidLease()) {
            // Before the jobs are read, nobody here can tell whose lease may be renewed; and where room has come free,
            // the
            // next task's launch is only a commit away, the next report seconds.
            heldResponses.put(machine.name(), held);
            loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> release(held));
        } else {
            held.answer(true);
        }
        if (brings == Machine.HeartbeatChange.CHANGED) {
            onChange.accept(machine);
        }
    }

    /** A machine that a new leader hears first while tasks run on it gains nothing by a held answer, and its lease ends. */
    private static boolean idleNewcomer(Machine machine, boolean first) {
        return first && machine.tasks().isEmpty();
    }

    private boolean bringsEnds(Machine machine) {
        Map<AttemptId, Attempt> stored = jobs.attemptsOn(machine.name());
        return machine.tasks().entrySet().stream()
                .anyMatch(t -> t.getValue().phase() == TaskStatus.Phase.EXITED && stored.containsKey(t.getKey()));
    }

    /** Answers held reports of machines that have launches to carry out by now; with {@code all}, every one. */
    public void releaseHeldResponses(boolean all) {
        for (Held held : List.copyOf(heldResponses.values())) {
            if (all || launchable(held.machine)) {
                release(held);
            }
        }
    }

    private void release(Held held) {
        if (!staleness.hasCompleteView()
                && loop.now() - held.since < Constants.Heartbeat.RESPONSE_HOLD_UNTIL_LOADED_MS) {
            loop.after(Constants.Heartbeat.RESPONSE_HOLD_MS, () -> release(held));
        } else if (heldResponses.remove(held.machine.name(), held)) {
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
            this.session = machine.incarnation();
            this.tick = machine.heartbeatNumber();
            this.answer = answer;
        }

        void answer(boolean withOrders) {
            if (!staleness.mayRenewLeases() || machine.terminated()) {
                counters.count(
                        machine.terminated() ? Event.HEARTBEAT_OF_TERMINATED_MACHINE : Event.HEARTBEAT_STALE_VIEW);
                answer.accept(Http.Response.of(503, Json.error("too long without contact to renew a lease")));
                return;
            }
            long token = election.workerFencingToken() + machine.earlyHeartbeatRequests();
            ObjectNode body = Json.object().put("baton", token);
            ArrayNode orders = body.putArray("orders");
            if (withOrders && setReady && machine.incarnation() == session && machine.heartbeatNumber() == tick) {
                if (staleness.mayLaunch()) {
                    give(machine, orders);
                } else {
                    counters.count(Event.LAUNCH_WITHHELD_STALE_VIEW);
                    if (staleness.mayStopCancelled()) {
                        stopCancelled(machine, orders);
                    }
                }
            }
            machine.recordResponse(token, loop.now());
            counters.count(Event.HEARTBEAT_RENEWED);
            answer.accept(Http.Response.of(200, Json.bytes(body)));
        }
    }

    /**
     * Makes machines report at once, so that orders reach them without waiting for the regular report: a command
     * without orders that shows a higher token. It starts nothing, so it may arrive as late as it likes. A worker
     * heeds a higher token once per half of its lease. Only so many are under way at once; the rest take turns.
     */
    public void requestEarlyHeartbeats(Collection<String> names) {
        earlyHeartbeatsPending.addAll(names);
        while (earlyHeartbeatsInFlight < settings.maxEarlyHeartbeatRequests() && !earlyHeartbeatsPending.isEmpty()) {
            String name = earlyHeartbeatsPending.iterator().next();
            earlyHeartbeatsPending.remove(name);
            requestEarlyHeartbeats(name);
        }
    }

    private void requestEarlyHeartbeats(String name) {
        Machine machine = machines.get(name);
        if (machine == null
                || machine.terminated()
                || heldResponses.containsKey(name)
                || !election.hasValidLease()
                || machine.address().isEmpty()
                || loop.now() - machine.earlyHeartbeatRequestedAt() <= leaseMs / 2 + Constants.Time.MARGIN_MS) {
            return;
        }
        machine.recordEarlyHeartbeatRequest(loop.now());
        ObjectNode body = Json.object()
                .put("baton", election.workerFencingToken() + machine.earlyHeartbeatRequests())
                .put("shift", machine.incarnation());
        body.putArray("orders");
        earlyHeartbeatsInFlight++;
        http.call(
                machine.address(),
                "POST",
                "/commands",
                Json.bytes(body),
                Constants.Heartbeat.EARLY_HEARTBEAT_TIMEOUT_MS,
                reply -> {
                    earlyHeartbeatsInFlight--;
                    requestEarlyHeartbeats(Set.of());
                });
    }

    private boolean launchable(Machine machine) {
        for (Map.Entry<AttemptId, Attempt> e : jobs.attemptsOn(machine.name()).entrySet()) {
            if (e.getValue().incarnation() == machine.incarnation()
                    && !machine.tasks().containsKey(e.getKey())) {
                return true;
            }
        }
        return false;
    }

    private void redirect(Consumer<Http.Response> answer) {
        String leader = election.knownLeader();
        counters.count(leader == null ? Event.HEARTBEAT_WITHOUT_LEADER : Event.HEARTBEAT_REDIRECTED);
        if (leader == null) {
            answer.accept(Http.Response.of(503, Json.error("no leader is known")));
        } else {
            answer.accept(Http.Response.of(421, Json.bytes(Json.object().put("foreman", leader))));
        }
    }

    private void give(Machine machine, ArrayNode orders) {
        Map<AttemptId, Attempt> stored = jobs.attemptsOn(machine.name());
        for (Map.Entry<AttemptId, TaskStatus> listed : machine.tasks().entrySet()) {
            AttemptId attemptId = listed.getKey();
            TaskStatus status = listed.getValue();
            Attempt attempt = stored.get(attemptId);
            boolean kept = attempt != null && attempt.incarnation() == machine.incarnation();
            if (status.phase() == TaskStatus.Phase.EXITED) {
                if (!kept) {
                    order(orders, "clear", attemptId);
                }
                continue;
            }
            Double grace = kept ? grace(attemptId, attempt) : Double.valueOf(0);
            if (grace != null && !(status.phase() == TaskStatus.Phase.SAVING_CHECKPOINT && grace > 0)) {
                stop(orders, machine, attemptId, grace);
            }
        }
        for (Map.Entry<AttemptId, Attempt> e : stored.entrySet()) {
            AttemptId attemptId = e.getKey();
            if (orders.size() < Constants.Heartbeat.MAX_ORDERS
                    && e.getValue().incarnation() == machine.incarnation()
                    && !machine.tasks().containsKey(attemptId)
                    && grace(attemptId, e.getValue()) == null
                    && mayLaunch(attemptId)
                    && noOtherAttempt(machine, attemptId)) {
                counters.count(Event.LAUNCH_ORDERED);
                order(orders, "launch", attemptId);
                machine.recordLaunch(attemptId);
                LOG.debug(
                        "launch {}/{} attempt {} on {}",
                        attemptId.jobId(),
                        attemptId.task(),
                        attemptId.attempt(),
                        machine.name());
            }
        }
    }

    private boolean mayLaunch(AttemptId attemptId) {
        boolean may = desiredState.mayLaunch(attemptId);
        if (!may) {
            counters.count(Event.LAUNCH_WITHHELD_GANG_FETCHING);
        }
        return may;
    }

    /** Without a young view: the ends of tasks whose jobs are known to be cancelled, and no more. */
    private void stopCancelled(Machine machine, ArrayNode orders) {
        machine.tasks().forEach((attemptId, status) -> {
            JobTable.Entry entry = jobs.get(attemptId.jobId());
            if (status.phase() != TaskStatus.Phase.EXITED && entry != null && entry.cancelled()) {
                stop(orders, machine, attemptId, 0);
            }
        });
    }

    private void stop(ArrayNode orders, Machine machine, AttemptId attemptId, double grace) {
        order(orders, "kill", attemptId).put("windDownS", grace);
        counters.count(Event.STOP_ORDERED);
        LOG.debug(
                "stop {}/{} attempt {} on {}, grace {} s",
                attemptId.jobId(),
                attemptId.task(),
                attemptId.attempt(),
                machine.name(),
                grace);
    }

    /** Null when the attempt is to go on, else the grace its end may take. */
    private Double grace(AttemptId attemptId, Attempt attempt) {
        JobTable.Entry entry = jobs.get(attemptId.jobId());
        if (entry == null || entry.cancelled() || !entry.holdsAttempt(attempt)) {
            return 0.0;
        }
        var graceS = desiredState.graceOf(attemptId);
        return graceS.isPresent() ? Double.valueOf(graceS.getAsDouble()) : null;
    }

    private static boolean noOtherAttempt(Machine machine, AttemptId wanted) {
        for (TaskStatus status : machine.tasks().values()) {
            if (status.task() == wanted.task()
                    && status.jobId().equals(wanted.jobId())
                    && status.attempt() != wanted.attempt()
                    && status.phase() != TaskStatus.Phase.EXITED) {
                return false;
            }
        }
        return true;
    }

    private static ObjectNode order(ArrayNode orders, String verb, AttemptId attemptId) {
        return orders.addObject()
                .put("verb", verb)
                .put("slip", attemptId.jobId() + "/" + attemptId.task())
                .put("try", attemptId.attempt());
    }
}
