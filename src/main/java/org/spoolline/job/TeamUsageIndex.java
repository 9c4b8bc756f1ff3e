package org.spoolline.job;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.Submission;

/**
 * What the attempts of each team take, kept up to date by differences so that a query costs the same for any number of
 * jobs. Amounts are summed as whole millionths: sums of fractions would drift.
 */
final class TeamUsageIndex {
    private static final double MILLIONTHS_PER_UNIT = 1e6;

    /** Millionths of cores and of accelerators. */
    private static final class Amounts {
        long cores;
        long accelerators;
    }

    private final Map<String, Amounts> byTeam = new HashMap<>();

    /** Forgets all usage. */
    void clear() {
        byTeam.clear();
    }

    /** Adds so many attempts of the job; a negative number takes them away. */
    void add(Submission job, int attempts) {
        Amounts amounts = byTeam.computeIfAbsent(job.team(), team -> new Amounts());
        amounts.cores += attempts * toMillionths(job.cores());
        amounts.accelerators += attempts * toMillionths(job.accelerators());
    }

    /** Cores that the team's attempts take. */
    double cores(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.cores / MILLIONTHS_PER_UNIT;
    }

    /** Accelerators that the team's attempts take. */
    double accelerators(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.accelerators / MILLIONTHS_PER_UNIT;
    }

    private static long toMillionths(double amount) {
        return Math.round(amount * MILLIONTHS_PER_UNIT);
    }
}
