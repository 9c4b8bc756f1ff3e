package org.spoolline.worker;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Heartbeat;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.election.LeaderElection;
import org.spoolline.election.StalenessBound;
import org.spoolline.job.JobTable;
import org.spoolline.job.TeamQuotas;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Http;
import org.spoolline.reconcile.DesiredState;

/**
 * The workers' heartbeat endpoint. It decides whether a heartbeat is served here, redirected to the leader or rejected;
 * {@link HeartbeatResponder} answers those that are served, at once or after a short hold ({@link HeldResponses}). Used on the
 * event loop only.
 */
public final class HeartbeatService {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatService.class);

    private final EventLoop loop;
    private final Settings settings;
    private final long leaseMs;
    private final LeaderElection election;
    private final StalenessBound staleness;
    private final MachineRegistry machines;
    private final Consumer<Machine> onChange;
    private final Counters counters;
    private final OrderPlanner planner;
    private final HeartbeatResponder responder;
    private final HeldResponses heldResponses;
    private final EarlyHeartbeatRequests earlyHeartbeats;
    private long lastHeartbeatAt;

    /**
     * Creates the endpoint.
     *
     * @param desiredState which stored attempts are to be stopped, and which may be launched
     * @param onChange is called with each machine whose heartbeat shows a change, after the heartbeat is answered or its
     *     response held
     */
    public HeartbeatService(
            EventLoop loop,
            Http.Caller http,
            Settings settings,
            LeaderElection election,
            StalenessBound staleness,
            MachineRegistry machines,
            JobTable jobs,
            DesiredState desiredState,
            Consumer<Machine> onChange,
            Counters counters) {
        this.loop = loop;
        this.settings = settings;
        this.leaseMs = settings.workers().leaseMs();
        this.election = election;
        this.staleness = staleness;
        this.machines = machines;
        this.onChange = onChange;
        this.counters = counters;
        TeamQuotas quotas = new TeamQuotas(settings, jobs);
        planner = new OrderPlanner(jobs, quotas, desiredState, counters);
        LaunchLog launchLog = new LaunchLog(jobs, quotas, counters);
        responder = new HeartbeatResponder(loop, election, staleness, planner, launchLog, counters);
        heldResponses = new HeldResponses(loop, staleness, planner, responder);
        earlyHeartbeats = new EarlyHeartbeatRequests(loop, http, settings, election, machines, heldResponses);
    }

    /** True when a heartbeat has come here lately, whatever its response was. */
    public boolean receivesHeartbeats() {
        return loop.now() - lastHeartbeatAt < settings.heartbeatsMissingMs();
    }

    /** True when machines are known but no heartbeat has come for too long: workers may be unable to reach this node. */
    public boolean workersUnreachable() {
        return !receivesHeartbeats() && machines.all().stream().anyMatch(machine -> !machine.terminated());
    }

    /** Sends orders from now on: the live jobs have been read under the present token. */
    public void enableOrders() {
        responder.enableOrders();
    }

    /** Sends no orders until {@link #enableOrders}: a term begins or ends. */
    public void disableOrders() {
        responder.disableOrders();
    }

    /** Serves one heartbeat. The answer is given exactly once, at once or after a short hold. */
    public void handle(Http.Request request, Consumer<Http.Response> answer) {
        if (!election.isLeader()) {
            // Not decoded: after a crash of all controllers a thousand workers reach just started processes at once.
            redirectToLeader(answer);
            return;
        }
        Optional<Heartbeat> heartbeat = HeartbeatCodec.decode(request.body());
        if (heartbeat.isEmpty()) {
            reject(HeartbeatRejection.MALFORMED, answer);
            return;
        }
        election.observeWorkerToken(heartbeat.get().token());
        if (!election.mayKeepAlive()) {
            redirectToLeader(answer);
            return;
        }
        handleAsLeader(heartbeat.get(), answer);
    }

    /** Releases every held response: all values of the scheduling cycles are written. */
    public void releaseHeldResponses() {
        heldResponses.releaseAll();
    }

    /** Releases the held responses to machines that have attempts to launch. */
    public void releaseHeldLaunches() {
        heldResponses.releaseWithLaunches();
    }

    /** Makes the machines send a heartbeat at once, so that they receive their orders. */
    public void requestEarlyHeartbeats(Collection<String> machineNames) {
        earlyHeartbeats.request(machineNames);
    }

    private void handleAsLeader(Heartbeat heartbeat, Consumer<Http.Response> answer) {
        Machine machine = machines.getOrRegister(
                heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), loop.now());
        if (machine.terminated()) {
            reject(HeartbeatRejection.MACHINE_TERMINATED, answer);
            return;
        }
        if (shouldProbeForLeader(machine)) {
            reject(HeartbeatRejection.LEADER_PROBE, answer);
            return;
        }
        boolean isFirst = !machine.hasReported();
        Machine.HeartbeatChange change = machine.accept(heartbeat, leaseMs, loop.now());
        if (change == Machine.HeartbeatChange.STALE) {
            reject(HeartbeatRejection.STALE_HEARTBEAT, answer);
            return;
        }
        lastHeartbeatAt = loop.now();
        if (isFirst) {
            recordFirstHeartbeat(machine);
        }
        // The response to this heartbeat carries the orders that a pending early-heartbeat request is about.
        earlyHeartbeats.cancel(machine.name());
        heldResponses.answerSuperseded(machine.name());
        respond(machine, isFirst, answer);
        if (change == Machine.HeartbeatChange.CHANGED) {
            onChange.accept(machine);
        }
    }

    /**
     * Without the key-value store a leader cannot tell an outage from a partition that leaves it alone. A worker that
     * asks the other controllers and comes back has found no newer leader; one that stays away has found one, and does
     * not have to wait until this leadership expires.
     */
    private boolean shouldProbeForLeader(Machine machine) {
        return !election.hasValidLease()
                && machine.shouldProbeForLeader(loop.now(), leaseMs / Constants.Heartbeat.LEADER_PROBES_PER_LEASE);
    }

    private void recordFirstHeartbeat(Machine machine) {
        machine.markBusy(loop.now());
        LOG.debug(
                "First heartbeat: machine={} type={} zone={} incarnation={}",
                machine.name(),
                machine.type(),
                machine.zone(),
                machine.incarnation());
    }

    private void respond(Machine machine, boolean isFirst, Consumer<Http.Response> answer) {
        PendingResponse pending = new PendingResponse(machine, loop.now(), answer);
        if (shouldHold(machine, isFirst)) {
            heldResponses.hold(pending);
        } else {
            responder.respondWithOrders(pending);
        }
    }

    /**
     * Before the jobs are read, nobody here can tell whose lease may be renewed. Where capacity becomes free, the launch
     * of the next task is only a commit away, but the next heartbeat seconds.
     */
    private boolean shouldHold(Machine machine, boolean isFirst) {
        if (!staleness.hasCompleteView()) {
            return true;
        }
        boolean hasFreeCapacity = isFirstWithoutTasks(machine, isFirst) || planner.listsExitOfStoredAttempt(machine);
        return hasFreeCapacity && election.hasValidLease();
    }

    /** A machine whose first heartbeat under a new leader lists tasks gains nothing by a hold, and its lease runs out. */
    private static boolean isFirstWithoutTasks(Machine machine, boolean isFirst) {
        return isFirst && machine.tasks().isEmpty();
    }

    private void redirectToLeader(Consumer<Http.Response> answer) {
        lastHeartbeatAt = loop.now();
        Optional<String> leader = election.knownLeader();
        if (leader.isEmpty()) {
            reject(HeartbeatRejection.NO_KNOWN_LEADER, answer);
            return;
        }
        counters.count(Event.HEARTBEAT_REDIRECTED);
        answer.accept(HeartbeatResponseCodec.redirect(leader.get()));
    }

    private void reject(HeartbeatRejection rejection, Consumer<Http.Response> answer) {
        counters.count(rejection.event());
        answer.accept(HeartbeatResponseCodec.rejection(rejection));
    }
}
