package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.spoolline.net.Http;
import org.spoolline.net.Json;

/** A machine and the worker on it, by PROTOCOL: heartbeats, lease, fencing token and commands. */
public final class FakeWorker {
    private static final long LEASE_MS = 16_000;
    private static final long RESPONSE_TIMEOUT_MS = 4_000;
    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final long RETRY_MS = 1_000;
    private static final long LEASE_CHECK_MS = 100;
    /** Without an answered heartbeat for so long, no work is expected to start here. */
    private static final long MAX_SCHEDULABLE_HEARTBEAT_AGE_MS = 5_000;

    final String name;
    final String type;
    final String zone;
    final boolean spot;
    private final Simulation simulation;
    private final WorkerTasks tasks;
    private boolean down;
    private boolean hanging;
    private long incarnation = 1;
    private long messageNumber;
    private long token;
    private long leaseRenewedAt;
    private int targetIndex;
    private boolean heartbeatInFlight;
    private boolean heartbeatRequested;
    private long lastHeartbeatAt = -10_000;
    /** Every task that starts here fails. */
    public boolean failsEveryTask;

    private OptionalDouble preemptionNoticeS = OptionalDouble.empty();

    /** A worker that has just booted and sends its first heartbeat to a random controller. */
    FakeWorker(Simulation simulation, String name, String type, String zone, boolean spot) {
        this.simulation = simulation;
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

    /** The machine loses power, and everything on it is lost. */
    public void losePower() {
        down = true;
        tasks.loseAll();
    }

    /** The machine loses power, and a worker without its memory starts under the same name after so many seconds. */
    public void restartAfter(double seconds) {
        losePower();
        simulation.at((long) (seconds * 1000), () -> {
            if (simulation.cloud.hasMachine(name)) {
                simulation.workers().put(name, new FakeWorker(simulation, name, type, zone, spot));
            }
        });
    }

    /** The worker does nothing for so many seconds; its tasks make no progress. */
    public void hang(double seconds) {
        hanging = true;
        simulation.at((long) (seconds * 1000), () -> {
            hanging = false;
            checkLease();
            sendHeartbeat();
        });
    }

    /** The cloud announces that it takes the spot machine back in so many seconds, and does. */
    public void preemptWithNotice(double seconds) {
        preemptionNoticeS = OptionalDouble.of(seconds);
        requestHeartbeat();
        simulation.at((long) (seconds * 1000), () -> simulation.cloud.remove(name));
    }

    /** The controller that receives its heartbeats now. */
    String heartbeatTarget() {
        return simulation.controllers.names().get(targetIndex);
    }

    /** The incarnation that its heartbeats show. */
    long incarnation() {
        return incarnation;
    }

    boolean isDown() {
        return down;
    }

    boolean isHanging() {
        return hanging;
    }

    /** True while its heartbeats are answered, so that work could be started here. */
    boolean isSchedulable() {
        return !down
                && !hanging
                && preemptionNoticeS.isEmpty()
                && !failsEveryTask
                && simulation.now() - leaseRenewedAt < MAX_SCHEDULABLE_HEARTBEAT_AGE_MS;
    }

    /** Cores of the machine. */
    double cores() {
        return FakeCloud.cores(type);
    }

    /** Cores that no attempt holds, not even one that still pulls its image. */
    double freeCores() {
        return cores() - tasks.usedCores();
    }

    /** True when a task of the job may run on this machine when empty. */
    boolean fits(SimulatedJob job) {
        return (job.zone() == null || job.zone().equals(zone))
                && (job.type() == null || job.type().equals(type))
                && (job.allowsSpot() || !spot)
                && job.cores() <= cores();
    }

    /** The attempts here, in order of launch. */
    List<SimulatedTask> tasks() {
        return tasks.list();
    }

    /** Lets the task of a gang run for so long, and then completes the gang. */
    void runFor(SimulatedTask task, long runMs) {
        tasks.runFor(task, runMs);
    }

    private void checkLeasePeriodically() {
        if (down) {
            return;
        }
        // A hanging worker may resume within its lease; past it, its tasks are lost whether it resumes or not.
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

    /** Sends a heartbeat as soon as the interval allows. */
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
        simulation.network.call(name, heartbeatTarget() + ":1", request, RESPONSE_TIMEOUT_MS, reply -> {
            heartbeatInFlight = false;
            if (down || hanging) {
                return;
            }
            if (reply.status() == 200) {
                applyResponse(Json.read(reply.body()), sentAt, sentIncarnation);
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

    /** Renews the lease and carries out commands, unless the response is of an earlier incarnation or token. */
    private void applyResponse(JsonNode response, long sentAt, long sentIncarnation) {
        if (sentIncarnation != incarnation
                || !response.has("baton")
                || response.path("baton").asLong() < token) {
            return;
        }
        adoptTokenIfNewer(response.path("baton").asLong());
        leaseRenewedAt = sentAt;
        response.path("orders").forEach(tasks::execute);
    }

    private void adoptTokenIfNewer(long newToken) {
        if (newToken > token) {
            token = newToken;
            requestHeartbeat();
        }
    }

    /** Carries out direct commands if token and incarnation still match, however late they arrive. */
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
        body.path("orders").forEach(tasks::execute);
        reply.accept(Http.Response.of(200, new byte[0]));
    }
}
