package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.spoolline.metrics.Event;

/** Gangs whose members take most of the space in the job's stored value, which lists all of them before any starts. */
class WideGangTest {
    private static Simulation simulationWithValues(int seed, int valueBytes) {
        Simulation simulation = new Simulation(seed, 24);
        simulation.cloud.capacity = 40;
        simulation.controllers.announceLimits(valueBytes, 4, 42);
        simulation.run(3);
        return simulation;
    }

    /** A gang that is accepted must run; one that can't fit its value on any machines is rejected at once. */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void gangOfAnySizeIsRejectedOrRuns(int seed) {
        Simulation simulation = simulationWithValues(seed, 1_024);
        SimulatedJob large = simulation.users.submit(simulation.users.job("blue", "group", 2_000, 0.1, 5));
        SimulatedJob medium = simulation.users.submit(simulation.users.job("blue", "group", 300 + seed * 10, 0.1, 5));
        simulation.run(120);
        simulation.invariants.checkAtEnd();
        assertTrue(large.rejected(), "seed " + seed);
        assertEquals("done", medium.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
    }

    /**
     * Machines that are almost full are preferred as a rule. Spread over many of them, the members' attempts don't fit
     * the value.
     */
    @ParameterizedTest
    @MethodSource(Seeds.EACH)
    void gangIsPackedWhenItsAttemptsOnManyMachinesDoNotFit(int seed) {
        Simulation simulation = simulationWithValues(seed, 900);
        simulation.users.submit(
                simulation.users.job("red", "batch", 90, 7.8, 600).with("standby", false));
        simulation.run(40);
        SimulatedJob gang = simulation.users.submit(simulation.users.job("blue", "group", 330, 0.1, 5));
        simulation.at(60_000, simulation.invariants::faultsEnded);
        simulation.run(240);
        assertEquals("done", gang.status(), "seed " + seed);
        assertEquals(List.of(), simulation.invariants.violations(), "seed " + seed);
        assertTrue(
                simulation.controllers.countOnAll(Event.PLACEMENT_WITHDRAWN_VALUE_FULL) > 0,
                "seed " + seed + ": expected a plan that does not fit the value");
    }
}
