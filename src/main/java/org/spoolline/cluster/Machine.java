package org.spoolline.cluster;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.AttemptId;

/**
 * The leader's state of one machine during its current term. Used on the event loop only. All times are in ms of the
 * event loop's clock.
 */
public final class Machine {
    /** How a heartbeat differs from the last one. */
    public enum HeartbeatChange {
        /** The heartbeat is delayed or duplicated, so it is not newer than the last one and is ignored. */
        STALE,
        /** The heartbeat only shows that the machine is alive. */
        UNCHANGED,
        /** The heartbeat has a change that a scheduling cycle has to evaluate. */
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

    /** Creates a machine without any heartbeat, idle since {@code knownSince}. */
    public Machine(String name, String type, String zone, boolean spot, long knownSince) {
        this.identity = new MachineIdentity(name, type, zone, spot);
        this.knownSince = knownSince;
        this.idleSince = knownSince;
    }

    /** The machine's name, which is unique and never reused. */
    public String name() {
        return identity.name();
    }

    /** The name of its machine type. */
    public String type() {
        return identity.type();
    }

    /** The machine's zone. */
    public String zone() {
        return identity.zone();
    }

    /** True for a spot machine. */
    public boolean spot() {
        return identity.spot();
    }

    /** Host and port at which the worker accepts commands; empty if unknown. */
    public String address() {
        return lastHeartbeat.address();
    }

    /** The incarnation of the last heartbeat; -1 before the first. A worker increments it when its lease expires. */
    public long incarnation() {
        return lastHeartbeat.incarnation();
    }

    /** Time of receipt of that incarnation's first heartbeat during the current term; -1 before the first. */
    public long incarnationSince() {
        return lastHeartbeat.incarnationSince();
    }

    /** The number of the last heartbeat within its incarnation; -1 before the first. */
    public long heartbeatNumber() {
        return lastHeartbeat.number();
    }

    /** The tasks listed in the last heartbeat; empty before the first. */
    public Map<AttemptId, TaskStatus> tasks() {
        return lastHeartbeat.tasks();
    }

    /** True when the last heartbeat has a notice that the cloud is about to reclaim the machine. */
    public boolean hasInterruptionNotice() {
        return lastHeartbeat.hasInterruptionNotice();
    }

    /** True once a heartbeat has been received during the current term. */
    public boolean hasReported() {
        return lastHeartbeat.receivedAt() >= 0;
    }

    /** Time of receipt of the last heartbeat; -1 before the first. */
    public long lastHeartbeatAt() {
        return lastHeartbeat.receivedAt();
    }

    /** True when the worker has observed the token, after which it executes no launch of an earlier leader. */
    public boolean hasAcknowledged(long token) {
        return lastHeartbeat.token() >= token;
    }

    /** Applies a heartbeat, unless it is stale: a stale one changes nothing. */
    public HeartbeatChange accept(Heartbeat heartbeat, long leaseMs, long now) {
        if (!lastHeartbeat.precedes(heartbeat)) {
            return HeartbeatChange.STALE;
        }
        if (downlink.observe(heartbeat, lastHeartbeat, leaseMs, now) == Downlink.Observation.UNREACHABLE) {
            earlyHeartbeats.raiseToken();
        }
        if (heartbeat.incarnation() > lastHeartbeat.incarnation()) {
            history.clearLaunches();
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

    /** Records that the last heartbeat was answered with a renewed lease, and the token in that response. */
    public void recordResponse(long token, long now) {
        downlink.recordResponse(token, now);
    }

    /** Time of the last response that renewed the lease; -1 before the first. */
    public long lastResponseAt() {
        return downlink.lastResponseAt();
    }

    /**
     * True when heartbeats arrive from the machine but the responses don't reach it, so launches would not reach it
     * either.
     */
    public boolean downlinkUnreachable() {
        return downlink.unreachableSince() >= 0;
    }

    /** Time at which responses were found not to reach the machine; -1 while none are known to fail. */
    public long downlinkUnreachableSince() {
        return downlink.unreachableSince();
    }

    /**
     * True when the heartbeat should be rejected, so that the worker asks the other controllers for a newer leader. It
     * returns true only once per period; the lease is renewed by the heartbeats in between.
     */
    public boolean shouldProbeForLeader(long now, long periodMs) {
        if (now - lastLeaderProbeAt <= periodMs) {
            return false;
        }
        lastLeaderProbeAt = now;
        return true;
    }

    /** Difference between the machine's token and the lowest worker token of the current term. */
    public long tokenIncrements() {
        return earlyHeartbeats.tokenIncrements();
    }

    /** Time of the last early-heartbeat request; a time far in the past if there was none. */
    public long earlyHeartbeatRequestedAt() {
        return earlyHeartbeats.requestedAt();
    }

    /** Records an early-heartbeat request. It raises the token that is sent to the machine from now on. */
    public void recordEarlyHeartbeatRequest(long now) {
        earlyHeartbeats.recordRequest(now);
    }

    /** True once the machine is proven to be terminated, with all attempts on it. */
    public boolean terminated() {
        return terminated;
    }

    /** Marks the machine as terminated, permanently. */
    public void markTerminated() {
        terminated = true;
    }

    /** True when the machine accepts no new tasks because it is to be released. */
    public boolean draining() {
        return draining;
    }

    /** Stops the placement of new tasks on the machine; its current tasks keep running. */
    public void drain() {
        draining = true;
    }

    /** Drains the machine and evicts tasks that have checkpoints or have not started, to move them elsewhere. */
    public void evacuate() {
        draining = true;
        evacuating = true;
    }

    /** True when tasks that have checkpoints or have not started are to be evicted. */
    public boolean evacuating() {
        return evacuating;
    }

    /** Time from which the machine is known, or from which it has been acquired according to the cloud's list. */
    public long knownSince() {
        return knownSince;
    }

    /** Time at which the machine last had work; initially the time from which it is known. */
    public long idleSince() {
        return idleSince;
    }

    /** Records that the machine has work at this time. */
    public void markBusy(long now) {
        idleSince = now;
    }

    /** Time of the last machine list of the cloud that contained this machine; -1 before the first. */
    public long lastListedAt() {
        return lastListedAt;
    }

    /** Records that a machine list of the cloud contains this machine. */
    public void markListed(long now) {
        lastListedAt = now;
    }

    /** Records that the response to the last heartbeat orders a launch. */
    public void recordLaunch(AttemptId attemptId) {
        history.recordLaunch(attemptId, heartbeatNumber());
    }

    /** True when a launch was ordered in response to the last heartbeat, so that no heartbeat can list it yet. */
    public boolean launchPending(AttemptId attemptId) {
        return history.launchedAtHeartbeat(attemptId) >= heartbeatNumber();
    }

    /** Ms since the first heartbeat that listed the task as running here; 0 for a task not listed as running. */
    public long observedRunMs(AttemptId attemptId, long now) {
        return history.observedRunMs(attemptId, now);
    }

    /** Records a failed task; returns the number of distinct jobs with failures here since a task last completed. */
    public int recordTaskFailure(String jobId) {
        return history.recordFailure(jobId);
    }

    /** Records a completed task. Earlier failures no longer count against the machine. */
    public void recordTaskCompletion() {
        history.recordCompletion();
    }

    /** True when the machine is expected to have the image cached. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Records the use of an image, which evicts the least recently used ones when the cache is full. */
    public void recordImageUse(String image, double sizeGb, double cacheGb) {
        images.recordUse(image, sizeGb, cacheGb);
    }
}
