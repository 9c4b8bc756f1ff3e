package org.spoolline.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.spoolline.pipeline.Pipeline;

/** A deployment with free cores, whose leader has just placed one-task jobs. */
final class PlacedJobs {
    private static final int JOBS = 14;
    private static final long SUBMIT_INTERVAL_MS = 40;
    private static final long REPEAT_INTERVAL_MS = 150;
    private static final int REPEATS = 20;
    private static final int MAX_STEPS = 100;
    private static final double STEP_S = 0.005;

    final Simulation simulation;
    final String leader;
    final List<SimulatedJob> jobs = new ArrayList<>();

    PlacedJobs(int seed) {
        simulation = new Simulation(seed);
        simulation.run(3);
        // Tasks of 5 cores, one on each machine of 8 cores, leave 3 cores for the jobs to be cancelled.
        simulation.users.submit(simulation.users.job("blue", "batch", 8, 5, 300));
        simulation.run(45);
        leader = Workloads.leader(simulation);
        for (int i = 0; i < JOBS; i++) {
            SimulatedJob job = simulation.users.job("blue", "batch", 1, 1, 60);
            jobs.add(job);
            simulation.at(i * SUBMIT_INTERVAL_MS, () -> simulation.users.submit(job));
        }
        simulation.run(JOBS * SUBMIT_INTERVAL_MS / 1_000.0);
        for (int i = 0; i < MAX_STEPS && placedButNotLaunched() == 0; i++) {
            simulation.run(STEP_S);
        }
    }

    void cancelAll() {
        jobs.forEach(simulation.users::cancel);
    }

    /** Repeats the submissions, as users do who got no answer; the answers report the jobs' states. */
    void submitAllAgainRepeatedly() {
        for (int i = 1; i <= REPEATS; i++) {
            simulation.at(i * REPEAT_INTERVAL_MS, () -> jobs.forEach(simulation.users::submit));
        }
    }

    /** The number of jobs whose attempt is stored but whose launch has not reached a worker. */
    long placedButNotLaunched() {
        return jobs.stream()
                .filter(job -> hasStoredAttempt(job) && !isOnAnyWorker(job))
                .count();
    }

    private boolean hasStoredAttempt(SimulatedJob job) {
        JsonNode value = simulation.store.value("job/" + job.jobId());
        return !value.isMissingNode() && Pipeline.decode(value).attempts().size() > 0;
    }

    private boolean isOnAnyWorker(SimulatedJob job) {
        return simulation.workers().values().stream()
                .flatMap(worker -> worker.tasks().stream())
                .anyMatch(task -> task.jobId().equals(job.jobId()));
    }
}
