package org.spoolline.workers;

import org.spoolline.pipeline.Attempt;

/** What is proven about an attempt on its machine. Everything not listed here proves nothing. */
public final class Evidence {
    /** GONE and EXITED are proofs that it is over; ABSENT, that it is not there and no launch is on its way. */
    public enum Verdict {
        ALIVE,
        EXITED,
        ABSENT,
        GONE,
        UNKNOWN
    }

    /** A verdict, with the task's report where there is one. */
    public record Finding(Verdict verdict, TaskReport report) {}

    private static final Finding GONE = new Finding(Verdict.GONE, null);
    private static final Finding ABSENT = new Finding(Verdict.ABSENT, null);
    private static final Finding UNKNOWN = new Finding(Verdict.UNKNOWN, null);

    private final long token;
    private final long othersMayAnswerUntil;
    private final long silenceMs;

    /**
     * @param othersMayAnswerUntil the latest moment at which a former leader may have renewed a worker's lease
     * @param silenceMs after the last renewal, the time by which a worker has ended all its tasks
     */
    public Evidence(long token, long othersMayAnswerUntil, long silenceMs) {
        this.token = token;
        this.othersMayAnswerUntil = othersMayAnswerUntil;
        this.silenceMs = silenceMs;
    }

    /** Judges one attempt; {@code machine} is null when it is not known at all. */
    public Finding judge(String uid, Attempt attempt, Machine machine, long now) {
        if (machine == null) {
            return silent(null, now) ? GONE : UNKNOWN;
        }
        if (machine.gone()) {
            return GONE;
        }
        Finding reported = reported(uid, attempt, machine);
        boolean over = reported.verdict() == Verdict.EXITED || reported.verdict() == Verdict.GONE;
        return !over && silent(machine, now) ? GONE : reported;
    }

    /**
     * What the newest report proves. A machine that is back at once counts its sessions and reports from the start: a
     * copy of what it said before looks newer than its present word, but can't show a token first shown since.
     */
    private Finding reported(String uid, Attempt attempt, Machine machine) {
        boolean present = machine.hasSeen(token);
        if (machine.session() != attempt.session()) {
            // A later session, or an earlier one of a later life: whoever shows our token lived after the attempt's.
            return present ? GONE : UNKNOWN;
        }
        Machine.Start start = Machine.Start.of(uid, attempt);
        TaskReport report = machine.tasks().get(start);
        if (report == null) {
            return present && !machine.launchPending(start) ? ABSENT : UNKNOWN;
        }
        if (report.phase() != TaskReport.Phase.EXITED) {
            return new Finding(Verdict.ALIVE, report);
        }
        return present ? new Finding(Verdict.EXITED, report) : UNKNOWN;
    }

    /** True when nobody can have answered the machine for so long that its lease has ended. */
    public boolean silent(Machine machine, long now) {
        long answered = machine == null ? -1 : machine.answeredAt();
        return now > Math.max(answered, othersMayAnswerUntil) + silenceMs;
    }
}
