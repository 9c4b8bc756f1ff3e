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
    private static final long UNKNOWN = -1;

    /** The attempts of one proof, with the least age of what it rests on; -1 for what never was. */
    private static final class Summary {
        int attempts;
        long heartbeatAgeMs = Long.MAX_VALUE;
        long responseAgeMs = Long.MAX_VALUE;
    }

    private final String jobId;
    private final long now;
    /** Empty for most jobs in most cycles, and then without a table of its own. */
    private Map<TerminationProof.Proof, Summary> byProof = Map.of();

    LostAttemptsLog(String jobId, long now) {
        this.jobId = jobId;
        this.now = now;
    }

    /** Adds an attempt on a machine, which is null when this leader has not heard of it. */
    void add(Attempt attempt, TerminationProof.Proof proof, Machine machine) {
        long heartbeatAgeMs = machine == null ? UNKNOWN : ageMs(machine.lastHeartbeatAt());
        long responseAgeMs = machine == null ? UNKNOWN : ageMs(machine.lastResponseAt());
        if (byProof.isEmpty()) {
            byProof = new EnumMap<>(TerminationProof.Proof.class);
        }
        Summary summary = byProof.computeIfAbsent(proof, key -> new Summary());
        summary.attempts++;
        summary.heartbeatAgeMs = Math.min(summary.heartbeatAgeMs, heartbeatAgeMs);
        summary.responseAgeMs = Math.min(summary.responseAgeMs, responseAgeMs);
        LOG.debug(
                "Lost attempt with its machine: job={} task={} attempt={} machine={} incarnation={}"
                        + " machine_incarnation={} proof={} heartbeat_age_ms={} response_age_ms={}",
                jobId,
                attempt.task(),
                attempt.number(),
                attempt.machine(),
                attempt.incarnation(),
                machine == null ? UNKNOWN : machine.incarnation(),
                proof.label(),
                heartbeatAgeMs,
                responseAgeMs);
    }

    /** Writes the lines at info. */
    void logSummaries() {
        byProof.forEach((proof, summary) -> LOG.info(
                "Lost attempts with their machines: job={} attempts={} proof={} heartbeat_age_ms={} response_age_ms={}",
                jobId,
                summary.attempts,
                proof.label(),
                summary.heartbeatAgeMs,
                summary.responseAgeMs));
    }

    private long ageMs(long recordedAt) {
        return recordedAt < 0 ? UNKNOWN : now - recordedAt;
    }
}
