package org.spoolline.reconcile;

import java.util.Locale;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/**
 * Determines whether an attempt is proven to have ended on its machine. No other class may conclude that an attempt has
 * ended. There are five proofs, numbered as in docs/design.md:
 *
 * <ol>
 * <li>the machine's last heartbeat shows a fencing token of the current term and is of another incarnation than
 *     the attempt;
 * <li>the last heartbeat shows such a token, is of the attempt's incarnation, and lists the attempt as exited;
 * <li>the last heartbeat shows such a token, is of the attempt's incarnation, does not list the attempt, and no
 *     response to this or a later heartbeat ordered the launch of the attempt;
 * <li>the cloud has confirmed that the machine is terminated;
 * <li>lease expiry: for longer than the lease lasts, no leader can have renewed the lease of the attempt's
 *     incarnation, and no first heartbeat of that incarnation has arrived.
 * </ol>
 *
 * Any other observation, such as a refused connection, proves nothing. An instance applies to one term, is immutable
 * and is used on the event loop only.
 */
public final class TerminationProof {
    /** What is proven about an attempt. */
    public enum AttemptState {
        /** The last heartbeat lists the attempt in a phase other than exited. */
        ALIVE,
        /** Proof 2: the attempt has exited; its status contains the exit reason. */
        EXITED,
        /** Proof 3: the attempt is not on the machine, and no launch order for it is in flight. */
        ABSENT,
        /** Proof 1, 4 or 5: the attempt has ended, and no heartbeat will report its exit reason. */
        TERMINATED,
        /** No proof applies: the attempt is treated as running. */
        UNKNOWN
    }

    /** The proof that supports an assessment. */
    public enum Proof {
        /** No proof applies. */
        NONE,
        /** Proof 1. */
        OTHER_INCARNATION,
        /** Proof 2. */
        REPORTED_EXIT,
        /** Proof 3. */
        NOT_LISTED,
        /** Proof 4. */
        MACHINE_TERMINATED,
        /** Proof 5. */
        LEASE_EXPIRED;

        /** The name in logs. */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * The proven state of an attempt with the proof that supports it.
     *
     * @param status the attempt's status in the last heartbeat if the state is ALIVE or EXITED, else null
     */
    public record Assessment(AttemptState state, Proof proof, TaskStatus status) {}

    private static final Assessment OTHER_INCARNATION =
            new Assessment(AttemptState.TERMINATED, Proof.OTHER_INCARNATION, null);
    private static final Assessment MACHINE_TERMINATED =
            new Assessment(AttemptState.TERMINATED, Proof.MACHINE_TERMINATED, null);
    private static final Assessment LEASE_EXPIRED = new Assessment(AttemptState.TERMINATED, Proof.LEASE_EXPIRED, null);
    private static final Assessment ABSENT = new Assessment(AttemptState.ABSENT, Proof.NOT_LISTED, null);
    private static final Assessment UNKNOWN = new Assessment(AttemptState.UNKNOWN, Proof.NONE, null);

    private final long token;
    private final long formerLeadersMayRenewUntil;
    private final long leaseExpiryMs;

    /**
     * Creates the proofs of one term.
     *
     * @param token the lowest fencing token that the leader of the term sends to workers
     * @param formerLeadersMayRenewUntil the latest time at which a former leader can have renewed a worker's lease,
     *     in ms of the event loop's clock
     * @param leaseExpiryMs ms after its last lease renewal by which a worker has terminated all its tasks
     */
    public TerminationProof(long token, long formerLeadersMayRenewUntil, long leaseExpiryMs) {
        this.token = token;
        this.formerLeadersMayRenewUntil = formerLeadersMayRenewUntil;
        this.leaseExpiryMs = leaseExpiryMs;
    }

    /**
     * Returns what is proven about the attempt of the job.
     *
     * @param machine the attempt's machine, or null when this leader does not know it
     * @param now the current time in ms of the event loop's clock
     */
    public Assessment assess(String jobId, Attempt attempt, Machine machine, long now) {
        if (machine == null) {
            return leaseExpired(formerLeadersMayRenewUntil, now) ? LEASE_EXPIRED : UNKNOWN;
        }
        if (machine.terminated()) {
            return MACHINE_TERMINATED;
        }
        Assessment fromHeartbeat = assessLastHeartbeat(jobId, attempt, machine);
        boolean ended =
                fromHeartbeat.state() == AttemptState.EXITED || fromHeartbeat.state() == AttemptState.TERMINATED;
        return !ended && leaseExpired(lastRenewal(attempt, machine), now) ? LEASE_EXPIRED : fromHeartbeat;
    }

    /**
     * Evaluates proofs 1 to 3. A machine that restarts immediately resets its incarnation and heartbeat numbers. A
     * delayed copy of a heartbeat from before the restart then has higher numbers than the current heartbeats, but it
     * can't show a token that was first sent after the restart.
     */
    private Assessment assessLastHeartbeat(String jobId, Attempt attempt, Machine machine) {
        boolean showsCurrentToken = machine.hasAcknowledged(token);
        if (machine.incarnation() != attempt.incarnation()) {
            // The reported incarnation is a later one, or has a lower number because the machine restarted. If it
            // shows the token, it began after the attempt's incarnation in both cases.
            return showsCurrentToken ? OTHER_INCARNATION : UNKNOWN;
        }
        AttemptId attemptId = AttemptId.of(jobId, attempt);
        TaskStatus status = machine.tasks().get(attemptId);
        if (status == null) {
            return showsCurrentToken && !machine.launchPending(attemptId) ? ABSENT : UNKNOWN;
        }
        if (status.phase() != TaskStatus.Phase.EXITED) {
            return new Assessment(AttemptState.ALIVE, Proof.NONE, status);
        }
        return showsCurrentToken ? new Assessment(AttemptState.EXITED, Proof.REPORTED_EXIT, status) : UNKNOWN;
    }

    /**
     * Returns the latest time at which the lease of the attempt's incarnation can have been renewed or can have
     * begun. At the first heartbeat of an incarnation the leader has to assume that the incarnation has just begun,
     * because a worker starts a new incarnation when its lease expires, no matter how long ago its last heartbeat was
     * answered. The response to that first heartbeat would renew the new lease. The expiry of the previous
     * incarnation's lease therefore proves nothing about an attempt that was placed on the new incarnation.
     */
    private long lastRenewal(Attempt attempt, Machine machine) {
        long renewedAt = Math.max(machine.lastResponseAt(), formerLeadersMayRenewUntil);
        boolean isCurrentIncarnation = machine.incarnation() == attempt.incarnation();
        return isCurrentIncarnation ? Math.max(renewedAt, machine.incarnationSince()) : renewedAt;
    }

    /**
     * Evaluates proof 5: the lease has expired if neither this leader nor a former one can have renewed it within the
     * lease expiry time.
     */
    private boolean leaseExpired(long renewedAt, long now) {
        return now > renewedAt + leaseExpiryMs;
    }
}
