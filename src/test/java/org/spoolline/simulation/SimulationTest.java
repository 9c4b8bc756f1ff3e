package org.spoolline.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.spoolline.simulation.Workloads.leader;
import static org.spoolline.simulation.Workloads.mixedJob;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The simulation is deterministic. */
class SimulationTest {
    /** The failure of a seed can only be reproduced if the same seed replays the same scenario. */
    @Test
    void sameSeedReplaysTheSameScenario() {
        List<String> outcomes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Simulation simulation = new Simulation(9);
            simulation.run(3);
            for (int n = 0; n < 6; n++) {
                simulation.users.submit(mixedJob(simulation, n));
            }
            simulation.at(20_000, () -> simulation.controllers.crashFor(leader(simulation), 3));
            simulation.run(90);
            outcomes.add(simulation.invariants.starts() + " " + simulation.store.value("token") + " "
                    + simulation.workers().keySet() + " " + simulation.random.nextLong());
        }
        assertEquals(outcomes.get(0), outcomes.get(1));
    }
}
