package org.spoolline.scheduler;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.cluster.Machine;
import org.spoolline.cluster.MachineRegistry;
import org.spoolline.cluster.TaskStatus;
import org.spoolline.config.Constants;
import org.spoolline.config.Settings;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.net.EventLoop;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * Compares the resource usage that machines report in their heartbeats with the limits of the teams. Placement and
 * launching enforce the limits by the stored attempts; this audit checks the result against independent data. It only
 * counts and logs violations.
 */
final class QuotaAudit {
    private static final Logger LOG = LoggerFactory.getLogger(QuotaAudit.class);

    private final EventLoop loop;
    private final Settings settings;
    private final MachineRegistry machines;
    private final JobTable jobs;
    private final Counters counters;
    private long lastAuditAt;

    QuotaAudit(SchedulerContext context) {
        this.loop = context.loop();
        this.settings = context.settings();
        this.machines = context.machines();
        this.jobs = context.jobs();
        this.counters = context.counters();
    }

    /**
     * Audits all teams, at most once in {@link Constants.Cycle#FULL_RECONCILE_MS}, because an audit iterates over all
     * tasks of all machines.
     */
    void runIfDue() {
        if (loop.now() - lastAuditAt < Constants.Cycle.FULL_RECONCILE_MS) {
            return;
        }
        lastAuditAt = loop.now();
        reportedUsage().forEach(this::checkLimit);
    }

    private Map<String, TeamUsage> reportedUsage() {
        Map<String, TeamUsage> usageByTeam = new HashMap<>();
        for (Machine machine : machines.all()) {
            if (!machine.terminated() && loop.now() - machine.lastHeartbeatAt() <= settings.leaseExpiryMs()) {
                machine.tasks().forEach((attemptId, status) -> addUsage(usageByTeam, attemptId, status));
            }
        }
        return usageByTeam;
    }

    private void addUsage(Map<String, TeamUsage> usageByTeam, AttemptId attemptId, TaskStatus status) {
        boolean usesResources =
                status.phase() != TaskStatus.Phase.EXITED && status.phase() != TaskStatus.Phase.FETCHING_IMAGE;
        JobEntry job = jobs.get(attemptId.jobId());
        if (usesResources && job != null) {
            Pipeline committed = job.committed();
            usageByTeam
                    .computeIfAbsent(committed.spec().team(), name -> new TeamUsage())
                    .add(committed.spec(), 1);
        }
    }

    private void checkLimit(String teamName, TeamUsage reported) {
        Settings.Team team = settings.teams().get(teamName);
        if (team != null && !reported.isWithinLimit(team)) {
            counters.count(Event.TEAM_EXCEEDS_QUOTA);
            LOG.error(
                    "Team over its limit by heartbeats: team={} cores={} limit={} stored_cores={}",
                    teamName,
                    reported.cores(),
                    team.maxCores(),
                    jobs.coresUsed(teamName));
        }
    }
}
