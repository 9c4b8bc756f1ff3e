package org.spoolline.reconcile;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.pipeline.Attempt;

/**
 * Logs the attempts of one job that are proven to have ended with their machines or incarnations. At info it writes one
 * line per kind of proof, because after a crash of all controllers hundreds of attempts can be lost while the new
 * leader has little time. At debug it writes one line per attempt.
 */
final class LostAttemptsLog {
    private static final Logger LOG = LoggerFactory.getLogger(LostAttemptsLog.class);
    private static final long UNKNOWN = -1;

    /**
     * The number of attempts lost by one kind of proof, with the lowest age in ms of the last heartbeat and of the
     * last response; -1 if there was none.
     */
    private static final class Summary {
        int attempts;
        long heartbeatAgeMs = Long.MAX_VALUE;
        long responseAgeMs = Long.MAX_VALUE;
    }

    private final String jobId;
    private final long now;
    /**
     * The summaries by kind of proof. Most jobs lose no attempt in a cycle, so the map is allocated only when needed.
     */
    private Map<TerminationProof.Proof, Summary> byProof = Map.of();

    LostAttemptsLog(String jobId, long now) {
        this.jobId = jobId;
        this.now = now;
    }

    /** Adds a lost attempt; {@code machine} is null when this leader does not know the attempt's machine. */
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

    /** Writes one line at info for each kind of proof. */
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
