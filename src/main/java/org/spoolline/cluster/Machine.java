package org.spoolline.cluster;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.AttemptId;

/**
 * What the leader knows of one machine under its present leadership. Changed and read on the event loop only. All times
 * are in ms of the loop's clock.
 */
public final class Machine {
    /** What a heartbeat shows against the one before. */
    public enum HeartbeatChange {
        /** It is a late copy of an earlier one, and counts for nothing. */
        STALE,
        /** Nothing but that the machine is alive. */
        UNCHANGED,
        /** Something that a scheduling cycle has to look at. */
        CHANGED
    }

    private final MachineIdentity identity;
    private final long knownSince;
    private final LastHeartbeat lastHeartbeat = new LastHeartbeat();
    private final Downlink downlink = new Downlink();
    private final EarlyHeartbeats earlyHeartbeats = new EarlyHeartbeats();
    private final TaskHistory history = new TaskHistory();
    private final ImageCache images = new ImageCache();
    private long lastLeaderProbeAt = Long.MIN_VALUE / 2;
    private long idleSince;
    private long lastListedAt = -1;
    private boolean terminated;
    private boolean draining;
    private boolean evacuating;

    /** A machine that is known from {@code knownSince} on and has sent no heartbeat yet. */
    public Machine(String name, String type, String zone, boolean spot, long knownSince) {
        this.identity = new MachineIdentity(name, type, zone, spot);
        this.knownSince = knownSince;
        this.idleSince = knownSince;
    }

    /** The machine's name, unique among all machines ever known. */
    public String name() {
        return identity.name();
    }

    /** The name of its machine type. */
    public String type() {
        return identity.type();
    }

    /** The zone that it runs in. */
    public String zone() {
        return identity.zone();
    }

    /** True for a spot machine. */
    public boolean spot() {
        return identity.spot();
    }

    /** Host and port at which the worker takes commands; empty when it has not said. */
    public String address() {
        return lastHeartbeat.address();
    }

    /** The incarnation of the last heartbeat, or -1. A worker begins a new one when its lease has expired. */
    public long incarnation() {
        return lastHeartbeat.incarnation();
    }

    /** When the first heartbeat of that incarnation came under the present leadership, or -1. */
    public long incarnationSince() {
        return lastHeartbeat.incarnationSince();
    }

    /** The number of the last heartbeat within its incarnation, or -1. */
    public long heartbeatNumber() {
        return lastHeartbeat.number();
    }

    /** The tasks that the last heartbeat lists. */
    public Map<AttemptId, TaskStatus> tasks() {
        return lastHeartbeat.tasks();
    }

    /** True when the last heartbeat says that the cloud is about to take the machine back. */
    public boolean hasInterruptionNotice() {
        return lastHeartbeat.hasInterruptionNotice();
    }

    /** True when a heartbeat has come under the present leadership. */
    public boolean hasReported() {
        return lastHeartbeat.receivedAt() >= 0;
    }

    /** When the last heartbeat came, or -1. */
    public long lastHeartbeatAt() {
        return lastHeartbeat.receivedAt();
    }

    /** True when the machine has seen the token, so that no launch of an earlier leader can take effect any more. */
    public boolean hasAcknowledged(long token) {
        return lastHeartbeat.token() >= token;
    }

    /** Takes in a heartbeat unless it is stale: late copies change nothing. */
    public HeartbeatChange accept(Heartbeat heartbeat, long leaseMs, long now) {
        if (!lastHeartbeat.precedes(heartbeat)) {
            return HeartbeatChange.STALE;
        }
        if (downlink.observe(heartbeat, lastHeartbeat, leaseMs, now) == Downlink.Observation.UNREACHABLE) {
            earlyHeartbeats.raiseToken();
        }
        if (heartbeat.incarnation() > lastHeartbeat.incarnation()) {
            history.forgetLaunches();
        }
        Map<AttemptId, TaskStatus> listedTasks = new HashMap<>();
        for (TaskStatus status : heartbeat.tasks()) {
            AttemptId attemptId = status.attemptId();
            listedTasks.put(attemptId, status);
            history.observe(attemptId, status.phase(), now);
        }
        if (!lastHeartbeat.replaceWith(heartbeat, listedTasks, now)) {
            return HeartbeatChange.UNCHANGED;
        }
        history.retainRunTimes(listedTasks.keySet());
        return HeartbeatChange.CHANGED;
    }

    /** Notes that the last heartbeat was answered with a renewed lease, and which token the response showed. */
    public void recordResponse(long token, long now) {
        downlink.recordResponse(token, now);
    }

    /** When a heartbeat was last answered with a renewed lease, or -1. */
    public long lastResponseAt() {
        return downlink.lastResponseAt();
    }

    /** True when the machine's heartbeats come but responses to them don't arrive: no launch would. */
    public boolean downlinkUnreachable() {
        return downlink.unreachableSince() >= 0;
    }

    /** Since when responses don't arrive at the machine, or -1. */
    public long downlinkUnreachableSince() {
        return downlink.unreachableSince();
    }

    /**
     * True when the worker should ask the other controllers before it is answered here: once a period, so that it
     * neither misses a newer leader nor loses its lease.
     */
    public boolean shouldProbeForLeader(long now, long periodMs) {
        if (now - lastLeaderProbeAt <= periodMs) {
            return false;
        }
        lastLeaderProbeAt = now;
        return true;
    }

    /** How far the machine's token is raised above the lowest one of the present leadership. */
    public long tokenIncrements() {
        return earlyHeartbeats.tokenIncrements();
    }

    /** When the last early-heartbeat request was sent; far in the past when there was none. */
    public long earlyHeartbeatRequestedAt() {
        return earlyHeartbeats.requestedAt();
    }

    /** Notes that an early-heartbeat request is sent: from now on the machine is shown the raised token only. */
    public void recordEarlyHeartbeatRequest(long now) {
        earlyHeartbeats.recordRequest(now);
    }

    /** True once a termination proof covers the machine and everything on it. */
    public boolean terminated() {
        return terminated;
    }

    /** Marks the machine terminated, for good. */
    public void markTerminated() {
        terminated = true;
    }

    /** True when no new work may go here, because the machine is to be returned. */
    public boolean draining() {
        return draining;
    }

    /** Keeps new work off the machine; its tasks run on. */
    public void drain() {
        draining = true;
    }

    /** Drains the machine with graceful eviction: tasks that save checkpoints are to move to other machines. */
    public void evacuate() {
        draining = true;
        evacuating = true;
    }

    /** True when tasks that save checkpoints are to leave the machine. */
    public boolean evacuating() {
        return evacuating;
    }

    /** Since when the machine is known, or has been up as the cloud says. */
    public long knownSince() {
        return knownSince;
    }

    /** When the machine last had work, or came up. */
    public long idleSince() {
        return idleSince;
    }

    /** Notes that the machine has work now. */
    public void markBusy(long now) {
        idleSince = now;
    }

    /** When one of the cloud's lists last held the machine, or -1. */
    public long lastListedAt() {
        return lastListedAt;
    }

    /** Notes that one of the cloud's lists holds the machine. */
    public void markListed(long now) {
        lastListedAt = now;
    }

    /** Notes that the response to the last heartbeat orders a launch. */
    public void recordLaunch(AttemptId attemptId) {
        history.recordLaunch(attemptId, heartbeatNumber());
    }

    /** True when a launch may be on its way that the last heartbeat can't show yet. */
    public boolean launchPending(AttemptId attemptId) {
        return history.launchedAtHeartbeat(attemptId) >= heartbeatNumber();
    }

    /** Ms for which the task has been seen running here. */
    public long observedRunMs(AttemptId attemptId, long now) {
        return history.observedRunMs(attemptId, now);
    }

    /** Notes a failed task; returns the number of different jobs that failed here since a task last completed. */
    public int recordTaskFailure(String jobId) {
        return history.recordFailure(jobId);
    }

    /** Notes a completed task: failures before it don't count against the machine. */
    public void recordTaskCompletion() {
        history.recordCompletion();
    }

    /** True when the machine is expected to hold the image. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Notes the use of an image, dropping the least recently used ones over the cache's size. */
    public void recordImageUse(String image, double sizeGb, double cacheGb) {
        images.recordUse(image, sizeGb, cacheGb);
    }
}
