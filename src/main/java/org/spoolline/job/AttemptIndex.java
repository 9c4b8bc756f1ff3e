package org.spoolline.job;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * The committed attempts of all jobs by machine. It goes through a job's attempts by forEach: their iterator runs the
 * other way, and the order of launches in a heartbeat's response depends on the order of insertion here.
 */
final class AttemptIndex {
    private final Map<String, Map<AttemptId, Attempt>> byMachine = new HashMap<>();

    /** Attempts on a machine; not to be changed by the caller. */
    Map<AttemptId, Attempt> attemptsOn(String machine) {
        return byMachine.getOrDefault(machine, Map.of());
    }

    /** True when an attempt is on the machine. */
    boolean hasAttemptsOn(String machine) {
        return byMachine.containsKey(machine);
    }

    /** Removes all attempts. */
    void clear() {
        byMachine.clear();
    }

    /** Adds the attempts of a job that was unknown. */
    void add(Pipeline job) {
        job.attempts().forEach(attempt -> add(job.jobId(), attempt));
    }

    /** Removes the attempts of a job. */
    void remove(Pipeline job) {
        job.attempts().forEach(attempt -> remove(job.jobId(), attempt));
    }

    /** Applies the difference between two values of a job: a wide array changes by a few attempts in a write. */
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
