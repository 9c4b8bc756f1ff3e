package org.spoolline.reconcile;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.pipeline.Attempt;

/**
 * Logs the attempts of one job that are proven to have terminated with their machines or incarnations: at info one line
 * for each proof, since after a crash of all controllers hundreds are lost when time is short; at debug one for each attempt.
 */
final class LostAttemptsLog {
    private static final Logger LOG = LoggerFactory.getLogger(LostAttemptsLog.class);
    private static final long UNKNOWN_AGE = -1;

    /** The attempts of one proof, with the least age of what it rests on; -1 for what never was. */
    private static final class Lost {
        int attempts;
        long heartbeatAgeMs = Long.MAX_VALUE;
        long responseAgeMs = Long.MAX_VALUE;
    }

    private final String jobId;
    private final long now;
    /** Empty for most jobs in most cycles, and then without a table of its own. */
    private Map<TerminationProof.Proof, Lost> byProof = Map.of();

    LostAttemptsLog(String jobId, long now) {
        this.jobId = jobId;
        this.now = now;
    }

    /** Adds an attempt on a machine, which is null when this leader has not heard of it. */
    void add(Attempt attempt, TerminationProof.Proof proof, Machine machine) {
        long heartbeatAgeMs = machine == null ? UNKNOWN_AGE : age(machine.lastHeartbeatAt());
        long responseAgeMs = machine == null ? UNKNOWN_AGE : age(machine.lastResponseAt());
        if (byProof.isEmpty()) {
            byProof = new EnumMap<>(TerminationProof.Proof.class);
        }
        Lost lost = byProof.computeIfAbsent(proof, unseen -> new Lost());
        lost.attempts++;
        lost.heartbeatAgeMs = Math.min(lost.heartbeatAgeMs, heartbeatAgeMs);
        lost.responseAgeMs = Math.min(lost.responseAgeMs, responseAgeMs);
        LOG.debug(
                "Lost attempt with its machine: job={} task={} attempt={} machine={} incarnation={}"
                        + " machine_incarnation={} proof={} heartbeat_age_ms={} response_age_ms={}",
                jobId,
                attempt.task(),
                attempt.number(),
                attempt.machine(),
                attempt.incarnation(),
                machine == null ? UNKNOWN_AGE : machine.incarnation(),
                proof.label(),
                heartbeatAgeMs,
                responseAgeMs);
    }

    /** Writes the lines at info. */
    void write() {
        byProof.forEach((proof, lost) -> LOG.info(
                "Lost attempts with their machines: job={} attempts={} proof={} heartbeat_age_ms={} response_age_ms={}",
                jobId,
                lost.attempts,
                proof.label(),
                lost.heartbeatAgeMs,
                lost.responseAgeMs));
    }

    private long age(long at) {
        return at < 0 ? UNKNOWN_AGE : now - at;
    }
}
