package org.spoolline.job;

import java.util.HashMap;
import java.util.Map;
import org.spoolline.pipeline.Submission;

/**
 * The resources used by the attempts of each team. It is updated incrementally, so that the cost of a query does not
 * depend on the number of jobs. Amounts are summed as integer millionths, because floating-point sums would
 * accumulate rounding errors.
 */
final class TeamUsageIndex {
    private static final double MILLIONTHS_PER_UNIT = 1e6;

    /** Amounts in millionths of a core and of an accelerator. */
    private static final class Amounts {
        long cores;
        long accelerators;
    }

    private final Map<String, Amounts> byTeam = new HashMap<>();

    /** Removes all usage. */
    void clear() {
        byTeam.clear();
    }

    /** Adds the resources of this number of attempts of the job; a negative number subtracts them. */
    void add(Submission job, int attempts) {
        Amounts amounts = byTeam.computeIfAbsent(job.team(), team -> new Amounts());
        amounts.cores += attempts * toMillionths(job.cores());
        amounts.accelerators += attempts * toMillionths(job.accelerators());
    }

    /** Cores used by the team's attempts. */
    double cores(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.cores / MILLIONTHS_PER_UNIT;
    }

    /** Accelerators used by the team's attempts. */
    double accelerators(String team) {
        Amounts amounts = byTeam.get(team);
        return amounts == null ? 0 : amounts.accelerators / MILLIONTHS_PER_UNIT;
    }

    private static long toMillionths(double amount) {
        return Math.round(amount * MILLIONTHS_PER_UNIT);
    }
}
