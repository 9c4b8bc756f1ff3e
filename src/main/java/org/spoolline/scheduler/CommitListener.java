package org.spoolline.scheduler;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.job.JobEntry;
import org.spoolline.job.JobTable;
import org.spoolline.job.TerminalRecord;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;

/** Updates the leader's tables with the outcome of the writes that scheduling cycles sent. */
final class CommitListener implements PipelineWriter.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(CommitListener.class);

    private final JobTable jobs;
    private final TermState termState;
    private final Runnable requestCycle;

    CommitListener(JobTable jobs, TermState termState, Runnable requestCycle) {
        this.jobs = jobs;
        this.termState = termState;
        this.requestCycle = requestCycle;
    }

    @Override
    public void writeSent(PendingWrite write) {
        termState.dirtyAttempts().markClean(write.jobId());
    }

    @Override
    public void writeApplied(PendingWrite write, long revision) {
        Pipeline proposed = write.proposed();
        Pipeline committed = write.entry().committed();
        for (Attempt attempt : proposed.attempts()) {
            if (!committed.hasAttempt(attempt)) {
                termState.notifier().ordersChanged(attempt.machine());
            }
        }
        if (write.terminal()) {
            handleTerminalState(proposed, revision);
        } else {
            jobs.commitProposed(write.entry(), revision);
        }
    }

    private void handleTerminalState(Pipeline job, long revision) {
        String jobId = job.jobId();
        LOG.info("Job reached a terminal state: job={} state={}", jobId, job.succeeded() ? "done" : "cancelled");
        jobs.remove(jobId, revision);
        termState.dependencies().terminalRecordStored(jobId, TerminalRecord.of(job));
        termState.removeJob(jobId);
    }

    /** Marks all attempts of the job as dirty, because the next cycle has to compute the unstored changes again. */
    @Override
    public void writeAbandoned(JobEntry entry) {
        termState
                .dirtyAttempts()
                .markDirty(entry.committed().jobId(), entry.committed().attempts());
    }

    @Override
    public void outcomeKnown(boolean applied) {
        if (applied) {
            termState.notifier().notifyOrdersChanged();
        }
        requestCycle.run();
    }
}
