package org.spoolline.worker;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.job.TeamQuotas;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;

/**
 * Counts and logs launch orders, each with what permits the launch: the stored revision of its job, the usage and limit
 * of the team, and the age of the leader's view of the jobs.
 */
final class LaunchLog {
    private static final Logger LOG = LoggerFactory.getLogger(LaunchLog.class);

    private final JobTable jobs;
    private final TeamQuotas quotas;
    private final Counters counters;

    LaunchLog(JobTable jobs, TeamQuotas quotas, Counters counters) {
        this.jobs = jobs;
        this.quotas = quotas;
        this.counters = counters;
    }

    /**
     * Records that a response to the machine's heartbeat orders the launch of an attempt.
     *
     * @param viewAgeMs age in ms of the view of the jobs that permits the launch
     */
    void recordLaunch(AttemptId attemptId, String machine, long viewAgeMs) {
        counters.count(Event.LAUNCH_ORDERED);
        JobEntry job = jobs.get(attemptId.jobId());
        Attempt attempt = jobs.attemptsOn(machine).get(attemptId);
        if (job == null || attempt == null) {
            return;
        }
        String team = job.committed().spec().team();
        if (job.isReleased(attempt)) {
            counters.count(Event.LAUNCH_OF_RELEASED_ATTEMPT);
            LOG.warn(
                    "Ordered launch of a released attempt: job={} task={} attempt={} machine={} revision={} team={}",
                    attemptId.jobId(),
                    attemptId.task(),
                    attemptId.attempt(),
                    machine,
                    job.version(),
                    team);
        }
        LOG.debug(
                "Ordered launch: job={} task={} attempt={} machine={} revision={} team={} team_cores={} team_limit={}"
                        + " view_age_ms={}",
                attemptId.jobId(),
                attemptId.task(),
                attemptId.attempt(),
                machine,
                job.version(),
                team,
                quotas.coresUsed(team),
                quotas.maxCores(team),
                viewAgeMs);
    }
}
