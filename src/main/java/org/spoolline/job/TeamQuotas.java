package org.spoolline.job;

import org.spoolline.config.Settings;

/**
 * The resource limits of the teams, compared with the resources of their active attempts. Used on the event loop
 * only.
 */
public final class TeamQuotas {
    /** The limits of a team that is not in the settings. */
    private static final Settings.Team NOTHING_ALLOWED = new Settings.Team("", 0, 0, 0, 0);

    private final Settings settings;
    private final JobTable jobs;

    /** Creates quotas with the limits from the settings and the usage from the table. */
    public TeamQuotas(Settings settings, JobTable jobs) {
        this.settings = settings;
        this.jobs = jobs;
    }

    /** Cores of the team's active attempts, including those that are not launched yet. */
    public double coresUsed(String team) {
        return jobs.coresUsed(team);
    }

    /** The team's limit in cores; 0 for a team that is not in the settings. */
    public double maxCores(String team) {
        return limits(team).maxCores();
    }

    /** True when the team's active attempts, launched or not, exceed its limit in cores or accelerators. */
    public boolean exceeded(String team) {
        return !limits(team).allows(jobs.coresUsed(team), jobs.acceleratorsUsed(team));
    }

    private Settings.Team limits(String team) {
        return settings.teams().getOrDefault(team, NOTHING_ALLOWED);
    }
}
