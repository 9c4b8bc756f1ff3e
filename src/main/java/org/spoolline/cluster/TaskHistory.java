package org.spoolline.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Object2LongHashMap;
import org.spoolline.pipeline.AttemptId;

/** What the leader remembers of a machine's tasks beyond its last heartbeat: launches, run times and failures. */
final class TaskHistory {
    private static final long NEVER = -1;

    private final Object2LongHashMap<AttemptId> launchedAtHeartbeat = new Object2LongHashMap<>(NEVER);
    private final Map<AttemptId, Long> runningSince = new HashMap<>();
    private final Set<String> failedJobs = new HashSet<>();

    /** Notes that the response to the heartbeat of this number ordered a launch. */
    void recordLaunch(AttemptId attemptId, long heartbeatNumber) {
        launchedAtHeartbeat.put(attemptId, heartbeatNumber);
    }

    /** The number of the heartbeat whose response last ordered the launch, if it is not listed since; else -1. */
    long launchedAtHeartbeat(AttemptId attemptId) {
        return launchedAtHeartbeat.getValue(attemptId);
    }

    /** A new incarnation counts its heartbeats anew, and no launch of an earlier one reaches it. */
    void forgetLaunches() {
        launchedAtHeartbeat.clear();
    }

    /** Notes a task that a heartbeat lists. */
    void observe(AttemptId attemptId, TaskStatus.Phase phase, long now) {
        launchedAtHeartbeat.remove(attemptId);
        if (phase == TaskStatus.Phase.RUNNING) {
            runningSince.putIfAbsent(attemptId, now);
        }
    }

    /** Forgets the run times of tasks that are not listed any more. */
    void retainRunTimes(Set<AttemptId> listed) {
        runningSince.keySet().retainAll(listed);
    }

    /** Ms for which the task has been seen running. */
    long observedRunMs(AttemptId attemptId, long now) {
        Long since = runningSince.get(attemptId);
        return since == null ? 0 : now - since;
    }

    /** Notes a failed task; returns the number of different jobs that failed since a task last completed. */
    int recordFailure(String jobId) {
        failedJobs.add(jobId);
        return failedJobs.size();
    }

    /** A completed task shows that the machine works, so failures before it don't count against it. */
    void recordCompletion() {
        failedJobs.clear();
    }
}
