package org.spoolline.job;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * The committed attempts of all jobs by machine. It adds a job's attempts with forEach, because their iterator has the
 * opposite order, and the order of launches in a heartbeat response depends on the insertion order.
 */
final class AttemptIndex {
    private final Map<String, Map<AttemptId, Attempt>> byMachine = new HashMap<>();

    /** The committed attempts on a machine, by id; empty if there are none. The caller must not modify the map. */
    Map<AttemptId, Attempt> attemptsOn(String machine) {
        return byMachine.getOrDefault(machine, Map.of());
    }

    /** True when at least one committed attempt is on the machine. */
    boolean hasAttemptsOn(String machine) {
        return byMachine.containsKey(machine);
    }

    /** Removes all attempts. */
    void clear() {
        byMachine.clear();
    }

    /** Adds the attempts of a job that is not in the index yet. */
    void add(Pipeline job) {
        job.attempts().forEach(attempt -> add(job.jobId(), attempt));
    }

    /** Removes the attempts of a job. */
    void remove(Pipeline job) {
        job.attempts().forEach(attempt -> remove(job.jobId(), attempt));
    }

    /**
     * Applies the difference between two values of a job. A write to an array job with many tasks usually changes
     * only a few attempts.
     */
    void replace(Pipeline before, Pipeline after) {
        before.attempts().forEach(attempt -> {
            if (!after.hasAttempt(attempt)) {
                remove(before.jobId(), attempt);
            }
        });
        after.attempts().forEach(attempt -> {
            if (!before.hasAttempt(attempt)) {
                add(after.jobId(), attempt);
            }
        });
    }

    private void add(String jobId, Attempt attempt) {
        byMachine.computeIfAbsent(attempt.machine(), key -> new HashMap<>()).put(AttemptId.of(jobId, attempt), attempt);
    }

    private void remove(String jobId, Attempt attempt) {
        Map<AttemptId, Attempt> onMachine = byMachine.get(attempt.machine());
        if (onMachine != null) {
            onMachine.remove(AttemptId.of(jobId, attempt));
            if (onMachine.isEmpty()) {
                byMachine.remove(attempt.machine());
            }
        }
    }
}
