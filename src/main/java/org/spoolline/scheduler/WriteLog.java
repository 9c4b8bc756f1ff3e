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
 * Counts and logs the outcome of writes: at info level transactions that were not applied, at debug level single writes
 * and deferred writes. Placements and lost attempts are logged when a cycle decides them; the lines of this log show
 * which of those decisions were stored.
 */
final class WriteLog {
    private static final Logger LOG = LoggerFactory.getLogger(WriteLog.class);

    private final Counters counters;

    WriteLog(Counters counters) {
        this.counters = counters;
    }

    /** Logs writes that were sent as one transaction. The transaction id is unique within the term. */
    void sent(long transactionId, List<PendingWrite> writes) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        for (PendingWrite write : writes) {
            LOG.debug(
                    "Write sent: job={} transaction={} base_revision={} added={} released={}",
                    write.jobId(),
                    transactionId,
                    write.entry().version(),
                    countAttemptsNotIn(write.proposed(), write.entry().committed()),
                    countAttemptsNotIn(write.entry().committed(), write.proposed()));
        }
    }

    /** Logs writes that were applied at the given revision of the key-value store. */
    void applied(long transactionId, List<PendingWrite> writes, long revision) {
        for (PendingWrite write : writes) {
            LOG.debug("Write applied: job={} transaction={} revision={}", write.jobId(), transactionId, revision);
        }
    }

    /** Logs a transaction that failed because the given keys have newer values. */
    void conflicted(long transactionId, List<PendingWrite> writes, List<String> keys) {
        LOG.info(
                "Transaction conflicted with newer values: transaction={} jobs={} keys={}",
                transactionId,
                writes.size(),
                keys);
    }

    /** Logs a transaction that the key-value store refused. */
    void refused(long transactionId, List<PendingWrite> writes, CommitOutcome outcome) {
        LOG.info("Transaction refused: transaction={} jobs={} reason={}", transactionId, writes.size(), outcome);
    }

    /** Counts and logs a write that was not stored and can no longer be stored. */
    void abandoned(long transactionId, JobEntry entry, CommitOutcome outcome) {
        counters.count(Event.WRITE_ABANDONED);
        LOG.debug(
                "Write abandoned: job={} transaction={} base_revision={} reason={}",
                entry.committed().jobId(),
                transactionId,
                entry.version(),
                outcome.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Counts and logs writes that are deferred to a later cycle, because their jobs are paused, because they only
     * record completions, or because they exceed the limits on what can be sent now.
     *
     * @param allowance number of further writes that the write budget still allows
     */
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
