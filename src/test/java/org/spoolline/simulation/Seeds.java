package org.spoolline.simulation;

import java.util.stream.IntStream;

/**
 * The seeds of the parameterized scenarios, one case each. {@code -Dscenario.seeds=N} asks for seeds 1 to N (default
 * 4); {@code -Dscenario.seed=S} runs seed S alone, to look into a failure. The
 * two tests that sum over all seeds need several of them.
 */
final class Seeds {
    private static final String PROVIDER = "org.spoolline.simulation.Seeds#";

    /** Name of the provider of seeds 1 to N. */
    static final String EACH = PROVIDER + "each";
    /** Name of the provider of seeds 1 to 2N, for scenarios that depend more on timing. */
    static final String TWICE_AS_MANY = PROVIDER + "twiceAsMany";
    /** Name of the provider of seeds 1 to 3N. */
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
