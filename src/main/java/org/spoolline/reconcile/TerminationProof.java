package org.spoolline.reconcile;

import java.util.Locale;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/**
 * Decides what is proven about an attempt on its machine; nothing else may conclude that an attempt has ended. There are
 * five proofs, numbered as in docs/design.md:
 *
 * <ol>
 *   <li>the machine's last heartbeat shows a token of the present leadership and is of another incarnation than the
 *       attempt's;
 *   <li>it shows such a token, is of the same incarnation, and lists the attempt as exited;
 *   <li>it shows such a token, is of the same incarnation, does not list the attempt, and no response to it or a later
 *       one ordered a launch;
 *   <li>the machine itself is terminated, as the cloud has confirmed;
 *   <li>lease expiry: nobody can have renewed the lease of the attempt's incarnation for longer than the lease lasts, nor
 *       has that incarnation been heard of for the first time since.
 * </ol>
 *
 * Everything else, such as a refused connection, proves nothing. An instance serves one leadership. It keeps no state of
 * its own and is used on the event loop only.
 */
public final class TerminationProof {
    /** What is proven about an attempt. */
    public enum AttemptState {
        /** The last heartbeat lists it as not exited. */
        ALIVE,
        /** Proof 2: it has exited, and its status says why. */
        EXITED,
        /** Proof 3: it is not on the machine, and no launch is on its way. */
        ABSENT,
        /** Proof 1, 4 or 5: it has ended, and its exit will never be reported. */
        TERMINATED,
        /** Nothing is proven: the attempt counts as running. */
        UNKNOWN
    }

    /** The proof on which a verdict rests. */
    public enum Proof {
        /** Nothing is proven. */
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
     * A verdict with what supports it.
     *
     * @param status the attempt's status in the last heartbeat with ALIVE and EXITED, else null
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
     * Proofs under one leadership.
     *
     * @param token the lowest token that workers are shown under the leadership
     * @param formerLeadersMayRenewUntil the latest moment at which a former leader may have renewed a worker's lease, in
     *     ms of the loop's clock
     * @param leaseExpiryMs ms after the last renewal by which a worker has ended all its tasks
     */
    public TerminationProof(long token, long formerLeadersMayRenewUntil, long leaseExpiryMs) {
        this.token = token;
        this.formerLeadersMayRenewUntil = formerLeadersMayRenewUntil;
        this.leaseExpiryMs = leaseExpiryMs;
    }

    /**
     * What is proven about the job's attempt.
     *
     * @param machine the attempt's machine, or null when the leader has not heard of it
     * @param now in ms of the loop's clock
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
     * Proofs 1 to 3. A machine that restarts at once counts its incarnations and heartbeats from the start: a copy of a
     * heartbeat from before looks newer than the present ones, but can't show a token first shown since.
     */
    private Assessment assessLastHeartbeat(String jobId, Attempt attempt, Machine machine) {
        boolean showsCurrentToken = machine.hasAcknowledged(token);
        if (machine.incarnation() != attempt.incarnation()) {
            // A later incarnation, or an earlier one after a restart: one that shows the token lived after the
            // attempt's.
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
     * The latest moment at which the lease of the attempt's incarnation can have been renewed, or have begun. An incarnation
     * that is heard of for the first time has just begun, as far as is known: a worker counts the next one when a lease
     * expires, however long ago it was last answered. The answer to its heartbeat would renew that lease, so until then the
     * expiry of the lease before proves nothing about an attempt that was placed on it.
     */
    private long lastRenewal(Attempt attempt, Machine machine) {
        long renewedAt = Math.max(machine.lastResponseAt(), formerLeadersMayRenewUntil);
        boolean isCurrentIncarnation = machine.incarnation() == attempt.incarnation();
        return isCurrentIncarnation ? Math.max(renewedAt, machine.incarnationSince()) : renewedAt;
    }

    /** Proof 5: the lease has expired, since neither this leader nor a former one can have renewed it for too long. */
    private boolean leaseExpired(long renewedAt, long now) {
        return now > renewedAt + leaseExpiryMs;
    }
}
