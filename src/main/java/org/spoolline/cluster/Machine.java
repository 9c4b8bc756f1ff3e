package org.spoolline.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Object2LongHashMap;
import org.spoolline.config.Constants;
import org.spoolline.pipeline.AttemptId;

/** What the leader knows of one machine. Changed on the loop only. */
public final class Machine {
    private static final long NEVER = -1;

    private final String name;
    private final String type;
    private final String zone;
    private final boolean spot;
    private String address = "";
    private long incarnation = -1;
    private long heartbeatNumber = -1;
    private long acknowledgedToken = -1;
    private Map<AttemptId, TaskStatus> tasks = Map.of();
    private Double interruptionNoticeS;
    private long lastHeartbeatAt = -1;
    private long lastResponseAt = -1;
    private long lastSentToken;
    private int unacknowledgedResponses;
    private long downlinkUnreachableSince = NEVER;
    private long leaderProbeAt = Long.MIN_VALUE / 2;
    private long earlyHeartbeatRequests;
    private long earlyHeartbeatRequestedAt = Long.MIN_VALUE / 2;
    private boolean terminated;
    private boolean draining;
    private boolean evacuating;
    private final Object2LongHashMap<AttemptId> launchedAtHeartbeat = new Object2LongHashMap<>(NEVER);
    private final Map<AttemptId, Long> runningSince = new HashMap<>();
    private final Set<String> failedJobs = new HashSet<>();
    private final LinkedHashMap<String, Double> images = new LinkedHashMap<>();
    private final long knownSince;
    private long idleSince;
    private long lastListedAt = -1;

    public Machine(String name, String type, String zone, boolean spot, long knownSince) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.knownSince = knownSince;
        this.idleSince = knownSince;
    }

    public String name() {
        return name;
    }

    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    public String address() {
        return address;
    }

    public long incarnation() {
        return incarnation;
    }

    public long heartbeatNumber() {
        return heartbeatNumber;
    }

    /** Tasks of the newest report. */
    public Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    public Double interruptionNoticeS() {
        return interruptionNoticeS;
    }

    public boolean hasReported() {
        return lastHeartbeatAt >= 0;
    }

    public long lastHeartbeatAt() {
        return lastHeartbeatAt;
    }

    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Notes that the newest report was answered, and which token the answer showed. */
    public void recordResponse(long token, long now) {
        lastResponseAt = now;
        lastSentToken = token;
    }

    /** True when its reports come but answers to them don't arrive: no launch would. */
    public boolean downlinkUnreachable() {
        return downlinkUnreachableSince >= 0;
    }

    /** Since when it is deaf, or -1. */
    public long downlinkUnreachableSince() {
        return downlinkUnreachableSince;
    }

    /**
     * Only one report is in flight, so one that does not show the token of the answer before has not heard it; and a
     * lease that ended although we answered tells the same. From then on only a token not shown before proves hearing.
     */
    private void checkDownlink(Heartbeat heartbeat, long leaseMs, long now) {
        if (lastResponseAt < 0) {
            return;
        }
        if (heartbeat.incarnation() > incarnation) {
            if (now - lastResponseAt < leaseMs) {
                markDownlinkUnreachable(now);
            }
        } else if (heartbeat.token() < lastSentToken) {
            unacknowledgedResponses++;
            if (unacknowledgedResponses >= Constants.Heartbeat.UNACKNOWLEDGED_RESPONSES_MAX) {
                markDownlinkUnreachable(now);
            }
        } else if (lastSentToken > acknowledgedToken) {
            unacknowledgedResponses = 0;
            downlinkUnreachableSince = NEVER;
        }
    }

    private void markDownlinkUnreachable(long now) {
        unacknowledgedResponses = 0;
        earlyHeartbeatRequests++;
        if (downlinkUnreachableSince < 0) {
            downlinkUnreachableSince = now;
        }
    }

    /**
     * True when a worker should ask the other controllers before it is answered here: once a period, so that it
     * neither misses a new leader nor loses its lease.
     */
    public boolean shouldProbeForLeader(long now, long periodMs) {
        if (now - leaderProbeAt <= periodMs) {
            return false;
        }
        leaderProbeAt = now;
        return true;
    }

    /** True once the machine and everything on it is proven gone. */
    public boolean terminated() {
        return terminated;
    }

    public void markTerminated() {
        terminated = true;
    }

    /** True when no new work may go here, because it is to be returned. */
    public boolean draining() {
        return draining;
    }

    public void drain() {
        draining = true;
    }

    /** Its work is to move to other machines, and it is to be returned. */
    public void evacuate() {
        draining = true;
        evacuating = true;
    }

    /** True when tasks that save are to leave it. */
    public boolean evacuating() {
        return evacuating;
    }

    public long knownSince() {
        return knownSince;
    }

    public long idleSince() {
        return idleSince;
    }

    public void markBusy(long now) {
        idleSince = now;
    }

    /** When a list last held the machine, or -1. */
    public long lastListedAt() {
        return lastListedAt;
    }

    public void markListed(long now) {
        lastListedAt = now;
    }

    /** True when the machine's word shows that it has seen the token, so that older leaders' launches are past. */
    public boolean hasAcknowledged(long token) {
        return acknowledgedToken >= token;
    }

    /** How often the machine was nudged under the present leadership. */
    public long earlyHeartbeatRequests() {
        return earlyHeartbeatRequests;
    }

    public long earlyHeartbeatRequestedAt() {
        return earlyHeartbeatRequestedAt;
    }

    /** Notes that a nudge is sent: from now on the machine is shown the raised token only. */
    public void recordEarlyHeartbeatRequest(long now) {
        earlyHeartbeatRequests++;
        earlyHeartbeatRequestedAt = now;
    }

    /** What a report brings: nothing, since it is an older one; no change but that the machine is there; news. */
    public enum HeartbeatChange {
        STALE,
        UNCHANGED,
        CHANGED
    }

    /**
     * Takes a report over if it is newer than what is known; late ones change nothing. A worker's highest token only
     * grows: a report that shows a lower one than before is of another life of the machine, whatever its numbers say.
     */
    public HeartbeatChange accept(Heartbeat heartbeat, long leaseMs, long now) {
        if (!heartbeat.isNewerThan(incarnation, heartbeatNumber) || heartbeat.token() < acknowledgedToken) {
            return HeartbeatChange.STALE;
        }
        checkDownlink(heartbeat, leaseMs, now);
        boolean same = heartbeat.incarnation() == incarnation
                && heartbeat.token() == acknowledgedToken
                && interruptionNoticeS == null
                && heartbeat.interruptionNoticeS() == null;
        if (heartbeat.incarnation() > incarnation) {
            launchedAtHeartbeat.clear();
        }
        incarnation = heartbeat.incarnation();
        heartbeatNumber = heartbeat.number();
        acknowledgedToken = heartbeat.token();
        address = heartbeat.address();
        interruptionNoticeS = heartbeat.interruptionNoticeS();
        lastHeartbeatAt = now;
        Map<AttemptId, TaskStatus> listing = new HashMap<>();
        for (TaskStatus status : heartbeat.tasks()) {
            AttemptId attemptId = status.attemptId();
            listing.put(attemptId, status);
            launchedAtHeartbeat.remove(attemptId);
            if (status.phase() == TaskStatus.Phase.RUNNING) {
                runningSince.putIfAbsent(attemptId, now);
            }
        }
        same &= listing.equals(tasks);
        tasks = listing;
        if (!same) {
            runningSince.keySet().retainAll(listing.keySet());
        }
        return same ? HeartbeatChange.UNCHANGED : HeartbeatChange.CHANGED;
    }

    /** Notes that the answer to the newest report held a launch. */
    public void recordLaunch(AttemptId attemptId) {
        launchedAtHeartbeat.put(attemptId, heartbeatNumber);
    }

    /** True when a launch may be on its way that the newest report can't show yet. */
    public boolean launchPending(AttemptId attemptId) {
        return launchedAtHeartbeat.getValue(attemptId) >= heartbeatNumber;
    }

    /** Ms for which the task has been seen running here. */
    public long observedRunMs(AttemptId attemptId, long now) {
        Long since = runningSince.get(attemptId);
        return since == null ? 0 : now - since;
    }

    /** Notes a failure here; returns the number of different jobs that failed since a task last completed. */
    public int recordTaskFailure(String jobId) {
        failedJobs.add(jobId);
        return failedJobs.size();
    }

    public void recordTaskCompletion() {
        failedJobs.clear();
    }

    public boolean hasImage(String image) {
        return images.containsKey(image);
    }

    /** Notes the use of an image, dropping the least recently used ones over the cache's size. */
    public void recordImageUse(String image, double gb, double cacheGb) {
        images.remove(image);
        images.put(image, gb);
        double held = images.values().stream().mapToDouble(Double::doubleValue).sum();
        var oldest = images.entrySet().iterator();
        while (held > cacheGb && oldest.hasNext()) {
            Map.Entry<String, Double> entry = oldest.next();
            if (entry.getKey().equals(image)) {
                break;
            }
            held -= entry.getValue();
            oldest.remove();
        }
    }
}
