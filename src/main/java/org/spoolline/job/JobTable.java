package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.kvstore.WatchEvent;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.AttemptId;
import org.spoolline.pipeline.Pipeline;

/**
 * The leader's table of live jobs, with the values that are known to be stored and those that are being written. Used
 * on the event loop only.
 */
public final class JobTable {
    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

    private final Map<String, JobEntry> entries = new LinkedHashMap<>();
    private final AttemptIndex attempts = new AttemptIndex();
    private final TeamUsageIndex usage = new TeamUsageIndex();
    private final Map<String, Long> removedAtVersion = new HashMap<>();

    /** All live jobs, in the order in which they became known. */
    public Collection<JobEntry> entries() {
        return entries.values();
    }

    /** The entry of the live job, or null when the job is unknown or no longer live. */
    public JobEntry get(String jobId) {
        return entries.get(jobId);
    }

    /** Committed attempts on a machine, by id. */
    public Map<AttemptId, Attempt> attemptsOn(String machine) {
        return attempts.attemptsOn(machine);
    }

    /** True when a committed attempt is on the machine. */
    public boolean hasAttemptsOn(String machine) {
        return attempts.hasAttemptsOn(machine);
    }

    /** Cores used by the team's committed attempts that are not released. */
    public double coresUsed(String team) {
        return usage.cores(team);
    }

    /** Accelerators used by the team's committed attempts that are not released. */
    public double acceleratorsUsed(String team) {
        return usage.accelerators(team);
    }

    /**
     * Releases the assessed attempts that are committed but missing in {@code nextValue}: this leader has decided
     * that they have ended. Their capacity becomes available immediately, so the decision is final for this term.
     * Later observations don't reverse it: released attempts are not launched, and no value that this leader proposes
     * contains them.
     *
     * @param assessed the attempts that the cycle has assessed; an array job can have many more
     * @return the number of newly released attempts, including unlisted ones
     */
    public int release(JobEntry entry, Pipeline nextValue, Collection<Attempt> assessed) {
        int activeBefore = entry.activeAttempts();
        entry.release(nextValue, assessed);
        int newlyReleased = activeBefore - entry.activeAttempts();
        usage.add(entry.committed().spec(), -newlyReleased);
        return newlyReleased;
    }

    /** Removes all jobs; called for a new term. */
    public void clear() {
        entries.clear();
        attempts.clear();
        usage.clear();
        removedAtVersion.clear();
    }

    /**
     * Applies a value that was received from a listing, a read or a watch. A value that is not newer than the known
     * version is ignored. A value that arrives during a write of the job is deferred until the outcome of the write
     * is known.
     */
    public void observe(WatchEvent event, String jobId) {
        JobEntry entry = entries.get(jobId);
        if (entry != null && entry.inFlight()) {
            entry.defer(event);
            return;
        }
        if (entry != null && event.version() <= entry.version()) {
            return;
        }
        if (event.isDeletion()) {
            remove(jobId, event.version());
        } else if (entry != null || event.version() > removedAtVersion.getOrDefault(jobId, 0L)) {
            // A change that is older than the job's removal must not restore the job, because its attempts would be
            // launched again.
            decodeAndCommit(event, jobId);
        }
    }

    /**
     * Exception boundary: a value that can't be decoded, for example one written by a later software version, must
     * not affect other jobs.
     */
    private void decodeAndCommit(WatchEvent event, String jobId) {
        try {
            commit(jobId, decode(jobId, event.value()), event.version());
        } catch (RuntimeException e) {
            LOG.error("Stored value can't be read: job={} version={}", jobId, event.version(), e);
        }
    }

    /**
     * Decodes a stored value. Rejects a value whose job id differs from that of its key, since it would be treated as
     * a job that this table does not contain.
     */
    private static Pipeline decode(String jobId, JsonNode value) {
        Pipeline decoded = Pipeline.decode(value);
        if (!decoded.jobId().equals(jobId)) {
            throw new IllegalArgumentException("the value is that of " + decoded.jobId());
        }
        return decoded;
    }

    /**
     * Records a cancellation that is committed. The table is updated directly because this leader may
     * observe the cancelled value much later or never.
     */
    public void markCancelled(String jobId) {
        JobEntry entry = entries.get(jobId);
        if (entry != null) {
            entry.markCancelled();
        }
    }

    /** Records that a write of this value is in flight. */
    public void propose(JobEntry entry, Pipeline nextValue) {
        entry.propose(nextValue);
    }

    /** Records that the proposed value is stored with this version, and applies the deferred event, if any. */
    public void commitProposed(JobEntry entry, long version) {
        Pipeline nextValue = entry.proposed();
        entry.propose(null);
        commit(nextValue.jobId(), nextValue, version);
        observeDeferred(entry);
    }

    /** Records that the proposed value can no longer be stored, and applies the deferred event, if any. */
    public void abandonProposed(JobEntry entry) {
        entry.propose(null);
        observeDeferred(entry);
    }

    private void observeDeferred(JobEntry entry) {
        WatchEvent deferred = entry.pollDeferred();
        if (deferred != null) {
            observe(deferred, entry.committed().jobId());
        }
    }

    /** Removes a job whose live value was replaced by its terminal record at this version. */
    public void remove(String jobId, long version) {
        JobEntry entry = entries.remove(jobId);
        removedAtVersion.merge(jobId, version, Math::max);
        if (entry != null) {
            attempts.remove(entry.committed());
            usage.add(entry.committed().spec(), -entry.activeAttempts());
        }
    }

    /** Discards the versions of removals up to this revision, since all later watch events have higher versions. */
    public void discardRemovalsUpTo(long revision) {
        removedAtVersion.values().removeIf(version -> version <= revision);
    }

    private void commit(String jobId, Pipeline value, long version) {
        JobEntry entry = entries.get(jobId);
        if (entry == null) {
            JobEntry added = new JobEntry(value, version);
            entries.put(jobId, added);
            attempts.add(value);
            usage.add(value.spec(), added.activeAttempts());
            return;
        }
        Pipeline before = entry.committed();
        usage.add(before.spec(), -entry.activeAttempts());
        entry.commit(value, version);
        usage.add(value.spec(), entry.activeAttempts());
        attempts.replace(before, value);
    }
}
