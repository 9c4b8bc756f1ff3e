package org.spoolline.cluster;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.agrona.collections.Object2LongHashMap;
import org.spoolline.pipeline.AttemptId;

/** State of a machine's tasks that its last heartbeat does not contain: pending launches, run times and failures. */
final class TaskHistory {
    private static final long NEVER = -1;

    private final Object2LongHashMap<AttemptId> launchedAtHeartbeat = new Object2LongHashMap<>(NEVER);
    private final Map<AttemptId, Long> runningSince = new HashMap<>();
    private final Set<String> failedJobs = new HashSet<>();

    /** Records that the response to the heartbeat of this number ordered a launch. */
    void recordLaunch(AttemptId attemptId, long heartbeatNumber) {
        launchedAtHeartbeat.put(attemptId, heartbeatNumber);
    }

    /** The number of the heartbeat whose response last ordered the launch; -1 for none, or once it has been listed. */
    long launchedAtHeartbeat(AttemptId attemptId) {
        return launchedAtHeartbeat.getValue(attemptId);
    }

    /** To be called on a new incarnation: it numbers heartbeats from 0 and executes no launch for an earlier one. */
    void clearLaunches() {
        launchedAtHeartbeat.clear();
    }

    /** Records a task that a heartbeat lists. */
    void observe(AttemptId attemptId, TaskStatus.Phase phase, long now) {
        launchedAtHeartbeat.remove(attemptId);
        if (phase == TaskStatus.Phase.RUNNING) {
            runningSince.putIfAbsent(attemptId, now);
        }
    }

    /** Removes the run times of all tasks except those listed in the last heartbeat. */
    void retainRunTimes(Set<AttemptId> listed) {
        runningSince.keySet().retainAll(listed);
    }

    /** Ms since the first heartbeat that listed the task as running; 0 for a task not listed as running. */
    long observedRunMs(AttemptId attemptId, long now) {
        Long since = runningSince.get(attemptId);
        return since == null ? 0 : now - since;
    }

    /** Records a failed task; returns the number of distinct jobs with failures since a task last completed. */
    int recordFailure(String jobId) {
        failedJobs.add(jobId);
        return failedJobs.size();
    }

    /** Resets the failures: a completed task shows that the machine works. */
    void recordCompletion() {
        failedJobs.clear();
    }
}
