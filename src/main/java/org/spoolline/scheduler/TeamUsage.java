package org.spoolline.scheduler;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Submission;

/** Total cores and accelerators that tasks of one team use or request. Mutable; confined to one planning pass. */
final class TeamUsage {
    private double cores;
    private double accelerators;

    /** Adds the resources of {@code tasks} tasks of the job. */
    void add(Submission job, int tasks) {
        cores += tasks * job.cores();
        accelerators += tasks * job.accelerators();
    }

    /** Total cores. */
    double cores() {
        return cores;
    }

    /** True when the total is within the team's guaranteed share. */
    boolean isWithinGuarantee(Settings.Team team) {
        return team.guarantees(cores, accelerators);
    }

    /** True when the total is within the team's limits. */
    boolean isWithinLimit(Settings.Team team) {
        return team.allows(cores, accelerators);
    }

    /** The number of further tasks of the job that the team's limits allow. */
    int headroom(Settings.Team team, Submission job) {
        double tasks = Math.floor((team.maxCores() - cores) / job.cores() + Constants.Placement.EPSILON);
        if (job.accelerators() > 0) {
            tasks = Math.min(
                    tasks,
                    Math.floor((team.maxAccelerators() - accelerators) / job.accelerators()
                            + Constants.Placement.EPSILON));
        }
        return (int) Math.max(0, Math.min(tasks, Integer.MAX_VALUE));
    }
}
