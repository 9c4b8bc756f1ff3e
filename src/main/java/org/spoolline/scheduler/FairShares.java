package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** Tracks the usage of each team during one planning pass against its guaranteed share and its limits. */
final class FairShares {
    private final Map<String, Settings.Team> teams;
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private final Set<String> jobsWithinShare = new HashSet<>();

    /**
     * Assigns the guaranteed shares to jobs; the usage of all teams starts at zero.
     *
     * @param jobsByEligibleTime jobs, earliest eligible time first: the order in which they are counted against their
     *                           team's guaranteed share
     */
    FairShares(Map<String, Settings.Team> teams, List<Pipeline> jobsByEligibleTime) {
        this.teams = teams;
        assignGuaranteedShares(jobsByEligibleTime);
    }

    private void assignGuaranteedShares(List<Pipeline> jobsByEligibleTime) {
        Map<String, TeamUsage> requested = new HashMap<>();
        for (Pipeline job : jobsByEligibleTime) {
            Submission spec = job.spec();
            Settings.Team team = teams.get(spec.team());
            if (team == null || job.succeeded() || job.cancelled()) {
                continue;
            }
            TeamUsage total = requested.computeIfAbsent(team.name(), name -> new TeamUsage());
            total.add(spec, spec.tasks());
            if (total.isWithinGuarantee(team)) {
                jobsWithinShare.add(job.jobId());
            }
        }
    }

    /** True when the job and its team's unfinished jobs that became eligible earlier fit the guaranteed share. */
    boolean isWithinShare(Pipeline job) {
        return jobsWithinShare.contains(job.jobId());
    }

    /** The team's usage, to which the caller adds running and newly placed tasks. */
    TeamUsage usage(String team) {
        return usageByTeam.computeIfAbsent(team, name -> new TeamUsage());
    }

    /** The number of further tasks of the job that its team's limits allow; 0 for a team missing from the settings. */
    int headroom(Submission job) {
        Settings.Team team = teams.get(job.team());
        return team == null ? 0 : usage(job.team()).headroom(team, job);
    }

    /** For each team, the cores in use beyond its guaranteed share; negative when it uses less than its share. */
    Map<String, Double> coresBeyondShare() {
        Map<String, Double> cores = new HashMap<>();
        teams.forEach((name, team) -> cores.put(name, usage(name).cores() - team.guaranteedCores()));
        return cores;
    }
}
