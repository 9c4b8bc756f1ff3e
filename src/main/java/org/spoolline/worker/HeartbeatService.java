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
 * The workers' heartbeat endpoint. It decides whether this node accepts a heartbeat, redirects the worker to the
 * leader or rejects the heartbeat. {@link HeartbeatResponder} responds to accepted heartbeats, immediately or after a
 * short hold ({@link HeldResponses}). Used on the event loop only.
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
    private final HeartbeatResponder heartbeatResponder;
    private final HeldResponses heldResponses;
    private final EarlyHeartbeatRequests earlyHeartbeats;
    private long lastHeartbeatAt;

    /**
     * Creates the endpoint.
     *
     * @param desiredState the stored attempts that are to be stopped, and those that may be launched
     * @param onChange is called with each machine whose heartbeat reports a change, after the response to it is sent
     *     or held
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
        heartbeatResponder = new HeartbeatResponder(loop, election, staleness, planner, launchLog, counters);
        heldResponses = new HeldResponses(loop, staleness, planner, heartbeatResponder);
        earlyHeartbeats = new EarlyHeartbeatRequests(loop, http, settings, election, machines, heldResponses);
    }

    /**
     * True when a heartbeat has reached this node within the time after which heartbeats are regarded as missing. While
     * this node is the leader, only accepted heartbeats count; otherwise every heartbeat does.
     */
    public boolean receivesHeartbeats() {
        return loop.now() - lastHeartbeatAt < settings.heartbeatsMissingMs();
    }

    /**
     * True when machines are known that are not terminated, but {@link #receivesHeartbeats} is false. Workers may be
     * unable to reach this node.
     */
    public boolean workersUnreachable() {
        return !receivesHeartbeats() && machines.all().stream().anyMatch(machine -> !machine.terminated());
    }

    /** Includes orders in later responses; called once the live jobs have been read under the current fencing token. */
    public void enableOrders() {
        heartbeatResponder.enableOrders();
    }

    /** Excludes orders from responses until {@link #enableOrders}; called when a term begins or ends. */
    public void disableOrders() {
        heartbeatResponder.disableOrders();
    }

    /** Handles one heartbeat request. Calls {@code responder} exactly once, immediately or after a short hold. */
    public void handle(Http.Request request, Consumer<Http.Response> responder) {
        if (!election.isLeader()) {
            // The body is not decoded: after a crash of all controllers, a thousand workers send heartbeats to
            // controllers that have just started.
            redirectToLeader(responder);
            return;
        }
        Optional<Heartbeat> heartbeat = HeartbeatCodec.decode(request.body());
        if (heartbeat.isEmpty()) {
            reject(HeartbeatRejection.MALFORMED, responder);
            return;
        }
        election.observeWorkerToken(heartbeat.get().token());
        if (!election.mayRenewWorkerLeases()) {
            redirectToLeader(responder);
            return;
        }
        handleAsLeader(heartbeat.get(), responder);
    }

    /** Sends all held responses; called once the scheduling cycles have no write deferred or in flight. */
    public void sendHeldResponses() {
        heldResponses.sendAll();
    }

    /** Sends the held responses to machines that have attempts to launch. */
    public void sendHeldResponsesWithLaunches() {
        heldResponses.sendWithLaunches();
    }

    /**
     * Requests an early heartbeat from the machines, so that they receive their orders before their next regular
     * heartbeat.
     */
    public void requestEarlyHeartbeats(Collection<String> machineNames) {
        earlyHeartbeats.request(machineNames);
    }

    private void handleAsLeader(Heartbeat heartbeat, Consumer<Http.Response> responder) {
        Machine machine = machines.getOrRegister(
                heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot(), loop.now());
        if (machine.terminated()) {
            reject(HeartbeatRejection.MACHINE_TERMINATED, responder);
            return;
        }
        if (shouldProbeForLeader(machine)) {
            reject(HeartbeatRejection.LEADER_PROBE, responder);
            return;
        }
        boolean isFirst = !machine.hasReported();
        Machine.HeartbeatChange change = machine.accept(heartbeat, leaseMs, loop.now());
        if (change == Machine.HeartbeatChange.STALE) {
            reject(HeartbeatRejection.STALE_HEARTBEAT, responder);
            return;
        }
        lastHeartbeatAt = loop.now();
        if (isFirst) {
            recordFirstHeartbeat(machine);
        }
        // The response to this heartbeat contains the orders for which an early heartbeat was to be requested.
        earlyHeartbeats.cancel(machine.name());
        heldResponses.respondToSuperseded(machine.name());
        respond(machine, isFirst, responder);
        if (change == Machine.HeartbeatChange.CHANGED) {
            onChange.accept(machine);
        }
    }

    /**
     * True when the worker is to check with the other controllers for a newer leader. A leader without contact to the
     * key-value store can't distinguish an outage of the store from a network partition that isolates only itself. A
     * rejected worker asks the other controllers. If there is a newer leader, the worker switches to it without waiting
     * until this leader's lease expires; if there is none, the worker sends its next heartbeat to this node again.
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

    private void respond(Machine machine, boolean isFirst, Consumer<Http.Response> responder) {
        PendingResponse pending = new PendingResponse(machine, loop.now(), responder);
        if (shouldHold(machine, isFirst)) {
            heldResponses.hold(pending);
        } else {
            heartbeatResponder.respondWithOrders(pending);
        }
    }

    /**
     * True when the response is to be held. Until the live jobs are read, this node can't determine whether it may
     * renew the lease. When the heartbeat shows free capacity, the next task for it can be launched as soon as its
     * attempt is committed, whereas the next heartbeat arrives only seconds later.
     */
    private boolean shouldHold(Machine machine, boolean isFirst) {
        if (!staleness.hasCompleteView()) {
            return true;
        }
        boolean hasFreeCapacity = isFirstWithoutTasks(machine, isFirst) || planner.listsExitOfStoredAttempt(machine);
        return hasFreeCapacity && election.hasValidLease();
    }

    /**
     * True for a first heartbeat without tasks. If the first heartbeat under a new leader lists tasks, the machine
     * has a lease that may expire soon, and a hold would only delay its renewal.
     */
    private static boolean isFirstWithoutTasks(Machine machine, boolean isFirst) {
        return isFirst && machine.tasks().isEmpty();
    }

    private void redirectToLeader(Consumer<Http.Response> responder) {
        lastHeartbeatAt = loop.now();
        Optional<String> leader = election.knownLeader();
        if (leader.isEmpty()) {
            reject(HeartbeatRejection.NO_KNOWN_LEADER, responder);
            return;
        }
        counters.count(Event.HEARTBEAT_REDIRECTED);
        responder.accept(HeartbeatResponseCodec.redirect(leader.get()));
    }

    private void reject(HeartbeatRejection rejection, Consumer<Http.Response> responder) {
        counters.count(rejection.event());
        responder.accept(HeartbeatResponseCodec.rejection(rejection));
    }
}
