package org.spoolline.scheduler;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.job.JobEntry;
import org.spoolline.kvstore.CommitOutcome;
import org.spoolline.metrics.Counters;
import org.spoolline.metrics.Event;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;

/**
 * Counts and logs what becomes of the writes that cycles decide: transactions that were not applied and deferred writes at
 * info, single writes at debug. What is placed or lost is logged when it is decided; these lines tell what was stored.
 */
final class WriteLog {
    private static final Logger LOG = LoggerFactory.getLogger(WriteLog.class);

    private final Counters counters;

    WriteLog(Counters counters) {
        this.counters = counters;
    }

    /** The writes are sent as one transaction, whose number is unique in its term. */
    void sent(long transaction, List<PendingWrite> writes) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        for (PendingWrite write : writes) {
            LOG.debug(
                    "Write sent: job={} transaction={} base_revision={} added={} released={}",
                    write.jobId(),
                    transaction,
                    write.entry().version(),
                    countAttemptsNotIn(write.proposed(), write.entry().committed()),
                    countAttemptsNotIn(write.entry().committed(), write.proposed()));
        }
    }

    /** The transaction was applied at the revision. */
    void applied(long transaction, List<PendingWrite> writes, long revision) {
        for (PendingWrite write : writes) {
            LOG.debug("Write applied: job={} transaction={} revision={}", write.jobId(), transaction, revision);
        }
    }

    /** The transaction failed, since the values of these keys are newer. */
    void conflicted(long transaction, List<PendingWrite> writes, List<String> keys) {
        LOG.info(
                "Transaction conflicted with newer values: transaction={} jobs={} keys={}",
                transaction,
                writes.size(),
                keys);
    }

    /** The transaction was refused. */
    void refused(long transaction, List<PendingWrite> writes, CommitOutcome outcome) {
        LOG.info("Transaction refused: transaction={} jobs={} reason={}", transaction, writes.size(), outcome);
    }

    /** The write to this job is not stored and never will be. */
    void abandoned(long transaction, JobEntry entry, CommitOutcome outcome) {
        counters.count(Event.WRITE_ABANDONED);
        LOG.debug(
                "Write abandoned: job={} transaction={} base_revision={} reason={}",
                entry.committed().jobId(),
                transaction,
                entry.version(),
                outcome.name().toLowerCase(Locale.ROOT));
    }

    /** The writes wait for a later cycle: they are paused, may wait, or exceed what may be sent now. */
    void deferred(Collection<PendingWrite> writes, int allowance) {
        if (writes.isEmpty()) {
            return;
        }
        counters.count(Event.WRITE_DEFERRED, writes.size());
        LOG.debug("Writes deferred: writes={} allowance={}", writes.size(), allowance);
        for (PendingWrite write : writes) {
            LOG.debug(
                    "Write deferred: job={} base_revision={}",
                    write.jobId(),
                    write.entry().version());
        }
    }

    private static int countAttemptsNotIn(Pipeline job, Pipeline other) {
        int count = 0;
        for (Attempt attempt : job.attempts()) {
            count += other.hasAttempt(attempt) ? 0 : 1;
        }
        return count;
    }
}
