package org.spoolline.simulation;

import java.util.stream.IntStream;

/**
 * The seeds of the parameterized scenarios; each seed is one test case. {@code -Dscenario.seeds=N} runs seeds 1 to N
 * (default 4); {@code -Dscenario.seed=S} runs only seed S, to reproduce a failure. Two tests check totals over all
 * seeds and therefore need several seeds.
 */
final class Seeds {
    private static final String PROVIDER = "org.spoolline.simulation.Seeds#";

    /** Method source of seeds 1 to N. */
    static final String EACH = PROVIDER + "each";
    /** Method source of seeds 1 to 2N, for scenarios that depend more on timing. */
    static final String TWICE_AS_MANY = PROVIDER + "twiceAsMany";
    /** Method source of seeds 1 to 3N. */
    static final String THREE_TIMES_AS_MANY = PROVIDER + "threeTimesAsMany";

    private static final int SEED_COUNT = Integer.getInteger("scenario.seeds", 4);
    private static final Integer SINGLE_SEED = Integer.getInteger("scenario.seed");

    private Seeds() {}

    static int[] each() {
        return seeds(SEED_COUNT);
    }

    static int[] twiceAsMany() {
        return seeds(2 * SEED_COUNT);
    }

    static int[] threeTimesAsMany() {
        return seeds(3 * SEED_COUNT);
    }

    private static int[] seeds(int count) {
        return SINGLE_SEED == null ? IntStream.rangeClosed(1, count).toArray() : new int[] {SINGLE_SEED};
    }
}
