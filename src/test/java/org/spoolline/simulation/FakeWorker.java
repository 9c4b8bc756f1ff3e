package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** A machine with a worker that implements heartbeats, lease, fencing token and commands of PROTOCOL. */
public final class FakeWorker {
    private static final long LEASE_MS = 16_000;
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final long RETRY_MS = 1_000;
    private static final long LEASE_CHECK_MS = 100;
    /** Longest time since the last answered heartbeat was sent in which tasks are expected to start here. */
    private static final long MAX_SCHEDULABLE_HEARTBEAT_AGE_MS = 5_000;

    final String name;
    final String type;
    final String zone;
    final boolean spot;
    private final Simulation simulation;
    private final WorkerTasks tasks;
    private boolean down;
    private boolean hanging;
    private long incarnation;
    private long messageNumber;
    private long token;
    private long leaseRenewedAt;
    private int targetIndex;
    private boolean heartbeatInFlight;
    private boolean heartbeatRequested;
    private long lastHeartbeatAt = -10_000;
    /** True if every task that starts on this machine fails. */
    public boolean failsEveryTask;

    private OptionalDouble preemptionNoticeS = OptionalDouble.empty();

    /** Creates a worker that has just booted and sends its first heartbeat to a random controller. */
    FakeWorker(Simulation simulation, String name, String type, String zone, boolean spot) {
        this(simulation, name, type, zone, spot, 1);
    }

    private FakeWorker(Simulation simulation, String name, String type, String zone, boolean spot, long incarnation) {
        this.simulation = simulation;
        this.incarnation = incarnation;
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.tasks = new WorkerTasks(simulation, this);
        this.leaseRenewedAt = simulation.now();
        this.targetIndex =
                simulation.random.nextInt(simulation.controllers.names().size());
        checkLeasePeriodically();
        sendHeartbeat();
    }

    /** Powers the machine off; all its attempts are lost. */
    public void losePower() {
        down = true;
        tasks.loseAll();
    }

    /**
     * Powers the machine off. After the given number of seconds a worker without the earlier state starts under the
     * same name, unless the cloud has removed the machine meanwhile.
     */
    public void restartAfter(double seconds) {
        restartAfter(seconds, 1);
    }

    /** As the other method, but the worker that starts counts on from the incarnation before. */
    public void restartInNextIncarnationAfter(double seconds) {
        restartAfter(seconds, incarnation + 1);
    }

    private void restartAfter(double seconds, long newIncarnation) {
        losePower();
        simulation.at((long) (seconds * 1000), () -> {
            if (simulation.cloud.hasMachine(name)) {
                simulation.workers().put(name, new FakeWorker(simulation, name, type, zone, spot, newIncarnation));
            }
        });
    }

    /**
     * Makes the worker hang for the given number of seconds: it sends no heartbeat, ignores commands, and its tasks
     * make no progress.
     */
    public void hang(double seconds) {
        hanging = true;
        simulation.at((long) (seconds * 1000), () -> {
            hanging = false;
            checkLease();
            sendHeartbeat();
        });
    }

    /**
     * Puts an interruption notice into the worker's heartbeats and removes the spot machine after the given number of
     * seconds.
     */
    public void preemptWithNotice(double seconds) {
        preemptionNoticeS = OptionalDouble.of(seconds);
        requestHeartbeat();
        simulation.at((long) (seconds * 1000), () -> simulation.cloud.remove(name));
    }

    /** The name of the controller to which the worker currently sends its heartbeats. */
    String heartbeatTarget() {
        return simulation.controllers.names().get(targetIndex);
    }

    /** The current incarnation, as sent in heartbeats. */
    long incarnation() {
        return incarnation;
    }

    boolean isDown() {
        return down;
    }

    boolean isHanging() {
        return hanging;
    }

    /** True if the worker is healthy and a recent heartbeat was answered, so controllers can start tasks on it. */
    boolean isSchedulable() {
        return !down
                && !hanging
                && preemptionNoticeS.isEmpty()
                && !failsEveryTask
                && simulation.now() - leaseRenewedAt < MAX_SCHEDULABLE_HEARTBEAT_AGE_MS;
    }

    /** The number of cores of the machine. */
    double cores() {
        return FakeCloud.cores(type);
    }

    /** Cores not allocated to live attempts; an attempt that still fetches its image counts as live. */
    double freeCores() {
        return cores() - tasks.usedCores();
    }

    /** True if a task of the job could run on this machine when no other task does. */
    boolean fits(SimulatedJob job) {
        return (job.zone() == null || job.zone().equals(zone))
                && (job.type() == null || job.type().equals(type))
                && (job.allowsSpot() || !spot)
                && job.cores() <= cores();
    }

    /** The attempts on this worker in order of launch. */
    List<SimulatedTask> tasks() {
        return tasks.list();
    }

    /** Runs the task of a gang for the given time and then completes the gang. */
    void runFor(SimulatedTask task, long runMs) {
        tasks.runFor(task, runMs);
    }

    private void checkLeasePeriodically() {
        if (down) {
            return;
        }
        // Also runs while the worker hangs: once the lease has expired, its tasks are lost even if it resumes.
        checkLease();
        simulation.at(LEASE_CHECK_MS, this::checkLeasePeriodically);
    }

    private void checkLease() {
        if (!down && simulation.now() - leaseRenewedAt > LEASE_MS) {
            tasks.loseAll();
            incarnation++;
            leaseRenewedAt = simulation.now();
            requestHeartbeat();
        }
    }

    /** Sends a heartbeat as soon as the minimum interval since the last one allows. */
    void requestHeartbeat() {
        heartbeatRequested = true;
        long delayMs = Math.max(0, lastHeartbeatAt + MIN_HEARTBEAT_INTERVAL_MS - simulation.now());
        simulation.at(delayMs, () -> {
            if (heartbeatRequested) {
                sendHeartbeat();
            }
        });
    }

    private void sendHeartbeat() {
        if (down || hanging || heartbeatInFlight || simulation.now() - lastHeartbeatAt < MIN_HEARTBEAT_INTERVAL_MS) {
            return;
        }
        heartbeatInFlight = true;
        heartbeatRequested = false;
        lastHeartbeatAt = simulation.now();
        long sentAt = simulation.now();
        long sentIncarnation = incarnation;
        Http.Request request = new Http.Request("POST", "/checkin", "", Json.bytes(heartbeat()));
        simulation.network.call(name, heartbeatTarget() + ":1", request, RESPONSE_TIMEOUT_MS, (reply, answeredAt) -> {
            heartbeatInFlight = false;
            if (down || hanging) {
                return;
            }
            if (reply.status() == 200) {
                applyResponse(Json.read(reply.body()), sentAt, sentIncarnation, answeredAt);
                simulation.at(2_250 + simulation.random.nextInt(1_500), this::sendHeartbeat);
                if (heartbeatRequested) {
                    requestHeartbeat();
                }
            } else {
                tryAnotherController(reply);
            }
        });
    }

    private ObjectNode heartbeat() {
        ObjectNode body = Json.object()
                .put("spooler", name)
                .put("addr", name + ":9")
                .put("build", type)
                .put("yard", zone)
                .put("standby", spot)
                .put("shift", incarnation)
                .put("tick", ++messageNumber)
                .put("baton", token);
        preemptionNoticeS.ifPresent(seconds -> body.put("recallS", seconds));
        tasks.writeStatus(body.putArray("slips"));
        return body;
    }

    private void tryAnotherController(Http.Reply reply) {
        String leader =
                reply.status() == 421 ? Json.read(reply.body()).path("foreman").asText("") : "";
        List<String> controllers = simulation.controllers.names();
        int leaderIndex = controllers.indexOf(leader);
        if (leaderIndex >= 0 && leaderIndex != targetIndex) {
            targetIndex = leaderIndex;
            simulation.at(MIN_HEARTBEAT_INTERVAL_MS, this::sendHeartbeat);
        } else {
            targetIndex = (targetIndex + 1) % controllers.size();
            simulation.at(RETRY_MS, this::sendHeartbeat);
        }
    }

    /**
     * Renews the lease and executes the commands of a heartbeat response. Ignores a response to a heartbeat of an
     * earlier incarnation, and one with a fencing token lower than the highest received.
     */
    private void applyResponse(JsonNode response, long sentAt, long sentIncarnation, long answeredAt) {
        if (sentIncarnation != incarnation
                || !response.has("baton")
                || response.path("baton").asLong() < token) {
            return;
        }
        adoptTokenIfNewer(response.path("baton").asLong());
        leaseRenewedAt = sentAt;
        response.path("orders").forEach(order -> tasks.execute(order, answeredAt));
    }

    private void adoptTokenIfNewer(long newToken) {
        if (newToken > token) {
            token = newToken;
            requestHeartbeat();
        }
    }

    /**
     * Executes commands that a controller sends directly. Rejects them with 409 if their fencing token is lower than
     * the highest received or their incarnation is not the current one, since they may arrive after a long delay.
     */
    void receiveCommands(Http.Request request, Consumer<Http.Response> reply) {
        if (down || hanging) {
            return;
        }
        JsonNode body = Json.read(request.body());
        long commandToken = body.path("baton").asLong();
        messageNumber++;
        if (commandToken < token || body.path("shift").asLong() != incarnation) {
            reply.accept(Http.Response.of(409, new byte[0]));
            return;
        }
        adoptTokenIfNewer(commandToken);
        simulation.invariants.commandsReceived(name, body.path("orders"));
        body.path("orders").forEach(order -> tasks.execute(order, simulation.now()));
        reply.accept(Http.Response.of(200, new byte[0]));
    }
}
