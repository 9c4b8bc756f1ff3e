package org.spoolline.reconcile;

import org.spoolline.cluster.Machine;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/** What is proven about an attempt on its machine. Everything not listed here proves nothing. */
public final class TerminationProof {
    /** GONE and EXITED are proofs that it is over; ABSENT, that it is not there and no launch is on its way. */
    public enum Verdict {
        ALIVE,
        EXITED,
        ABSENT,
        TERMINATED,
        UNKNOWN
    }

    /** A verdict, with the task's report where there is one. */
    public record Finding(Verdict verdict, TaskStatus status) {}

    private static final Finding TERMINATED = new Finding(Verdict.TERMINATED, null);
    private static final Finding ABSENT = new Finding(Verdict.ABSENT, null);
    private static final Finding UNKNOWN = new Finding(Verdict.UNKNOWN, null);

    private final long token;
    private final long formerLeadersMayRenewUntil;
    private final long leaseExpiryMs;

    /**
     * @param formerLeadersMayRenewUntil the latest moment at which a former leader may have renewed a worker's lease
     * @param leaseExpiryMs after the last renewal, the time by which a worker has ended all its tasks
     */
    public TerminationProof(long token, long othersMayAnswerUntil, long silenceMs) {
        this.token = token;
        this.formerLeadersMayRenewUntil = othersMayAnswerUntil;
        this.leaseExpiryMs = silenceMs;
    }

    /** Judges one attempt; {@code machine} is null when it is not known at all. */
    public Finding judge(String jobId, Attempt attempt, Machine machine, long now) {
        if (machine == null) {
            return leaseExpired(null, now) ? TERMINATED : UNKNOWN;
        }
        if (machine.terminated()) {
            return TERMINATED;
        }
        Finding reported = reported(jobId, attempt, machine);
        boolean over = reported.verdict() == Verdict.EXITED || reported.verdict() == Verdict.TERMINATED;
        return !over && leaseExpired(machine, now) ? TERMINATED : reported;
    }

    /**
     * What the newest report proves. A machine that is back at once counts its sessions and reports from the start: a
     * copy of what it said before looks newer than its present word, but can't show a token first shown since.
     */
    private Finding reported(String jobId, Attempt attempt, Machine machine) {
        boolean present = machine.hasAcknowledged(token);
        if (machine.incarnation() != attempt.incarnation()) {
            // A later session, or an earlier one of a later life: whoever shows our token lived after the attempt's.
            return present ? TERMINATED : UNKNOWN;
        }
        AttemptId attemptId = AttemptId.of(jobId, attempt);
        TaskStatus status = machine.tasks().get(attemptId);
        if (status == null) {
            return present && !machine.launchPending(attemptId) ? ABSENT : UNKNOWN;
        }
        if (status.phase() != TaskStatus.Phase.EXITED) {
            return new Finding(Verdict.ALIVE, status);
        }
        return present ? new Finding(Verdict.EXITED, status) : UNKNOWN;
    }

    /** True when nobody can have answered the machine for so long that its lease has ended. */
    public boolean leaseExpired(Machine machine, long now) {
        long answered = machine == null ? -1 : machine.lastResponseAt();
        return now > Math.max(answered, formerLeadersMayRenewUntil) + leaseExpiryMs;
    }
}
