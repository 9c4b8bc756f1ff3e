package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spoolline.config.Settings;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.pipeline.Submission;

/** What each team uses during one planning pass, compared with its guaranteed share and its limits. */
final class FairShares {
    private final Map<String, Settings.Team> teams;
    private final Map<String, TeamUsage> usageByTeam = new HashMap<>();
    private final Set<String> jobsWithinShare = new HashSet<>();

    /**
     * Shares without any usage yet.
     *
     * @param jobsByEligibleTime unfinished jobs, earliest release first: in this order they claim their team's guaranteed
     *                      share
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

    /** True when the job fits its team's guaranteed share along with the team's earlier unfinished jobs. */
    boolean isWithinShare(Pipeline job) {
        return jobsWithinShare.contains(job.jobId());
    }

    /** What the team's tasks use, to be added to as tasks are found or placed. */
    TeamUsage usage(String team) {
        return usageByTeam.computeIfAbsent(team, name -> new TeamUsage());
    }

    /** How many more tasks of the job its team's limits allow; none for a team that the settings don't name. */
    int headroom(Submission job) {
        Settings.Team team = teams.get(job.team());
        return team == null ? 0 : usage(job.team()).headroom(team, job);
    }

    /** By team: the cores that it uses beyond its guaranteed share, negative for one that uses less. */
    Map<String, Double> coresBeyondShare() {
        Map<String, Double> cores = new HashMap<>();
        teams.forEach((name, team) -> cores.put(name, usage(name).cores() - team.guaranteedCores()));
        return cores;
    }
}
