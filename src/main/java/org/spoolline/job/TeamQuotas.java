package org.spoolline.job;

import org.spoolline.config.Constants;
import org.spoolline.config.Settings;

/** The teams' limits beside what their committed attempts take. Used on the event loop only. */
public final class TeamQuotas {
    private final Settings settings;
    private final JobTable jobs;

    /** Quotas by the settings, usage by the table. */
    public TeamQuotas(Settings settings, JobTable jobs) {
        this.settings = settings;
        this.jobs = jobs;
    }

    /** Cores that the team's attempts take, or may take once they are launched. */
    public double coresUsed(String team) {
        return jobs.coresUsed(team);
    }

    /** The team's limit in cores; 0 for a team that the settings don't name. */
    public double maxCores(String team) {
        Settings.Team limits = settings.teams().get(team);
        return limits == null ? 0 : limits.maxCores();
    }

    /** True when the team's attempts would exceed its limit if all of them ran. */
    public boolean exceeded(String team) {
        Settings.Team limits = settings.teams().get(team);
        double maxAccelerators = limits == null ? 0 : limits.maxAccelerators();
        return jobs.coresUsed(team) > maxCores(team) + Constants.Placement.EPSILON
                || jobs.acceleratorsUsed(team) > maxAccelerators + Constants.Placement.EPSILON;
    }
}
