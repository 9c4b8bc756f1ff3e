package org.spoolline.job;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.Submission;

/**
 * What the attempts of each team take, kept up to date by differences so that a query costs the same for any number of
 * jobs. Amounts are summed as whole millionths: sums of fractions would drift.
 */
final class TeamUsageIndex {
    private static final double UNITS_PER_CORE = 1e6;

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
        Amounts amounts = byTeam.computeIfAbsent(job.team(), unseen -> new Amounts());
        amounts.cores += attempts * toUnits(job.cores());
        amounts.accelerators += attempts * toUnits(job.accelerators());
    }

    /** Cores that the team's attempts take. */
    double cores(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.cores / UNITS_PER_CORE;
    }

    /** Accelerators that the team's attempts take. */
    double accelerators(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.accelerators / UNITS_PER_CORE;
    }

    private static long toUnits(double amount) {
        return Math.round(amount * UNITS_PER_CORE);
    }
}
