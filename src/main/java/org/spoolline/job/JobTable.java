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
 * The leader's live jobs: the values that are confirmed to be stored, and those that are being written. Used on the event
 * loop only.
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

    /** The live job, or null when it is not known or no longer live. */
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

    /** Cores that the team's committed attempts take, without those that are released. */
    public double coresUsed(String team) {
        return usage.cores(team);
    }

    /** Accelerators that the team's committed attempts take, without those that are released. */
    public double acceleratorsUsed(String team) {
        return usage.accelerators(team);
    }

    /**
     * Records which committed attempts have ended, as this leader has decided: those that {@code nextValue} lacks. Their
     * capacity
     * is free from now on, so the decision is final for this term: whatever is learnt later they are not launched, and every
     * further value that this leader proposes lacks them too.
     *
     * @param assessed the attempts that were decided about: a wide array has many more
     * @return how many of them were not released before
     */
    public int release(JobEntry entry, Pipeline nextValue, Collection<Attempt> assessed) {
        int activeBefore = entry.activeAttempts();
        entry.release(nextValue, assessed);
        int newlyReleased = activeBefore - entry.activeAttempts();
        usage.add(entry.committed().spec(), -newlyReleased);
        return newlyReleased;
    }

    /** Forgets every job, as a new term does. */
    public void clear() {
        entries.clear();
        attempts.clear();
        usage.clear();
        removedAtVersion.clear();
    }

    /**
     * Takes a value that was listed, read or seen by the watch. One that is older than the known version changes nothing;
     * one that arrives during a write is deferred until the outcome of the write is known.
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
            // A change older than the job's removal must not restore it: its attempts would be launched again.
            decodeAndCommit(event, jobId);
        }
    }

    /** Exception boundary: one value that can't be decoded, perhaps of a later version, must not affect the others. */
    private void decodeAndCommit(WatchEvent event, String jobId) {
        try {
            commit(jobId, decode(jobId, event.value()), event.version());
        } catch (RuntimeException e) {
            LOG.error("Stored value can't be read: job={} version={}", jobId, event.version(), e);
        }
    }

    /** Rejects a value that names another job than its key: it would stand for a job that is not in this table. */
    private static Pipeline decode(String jobId, JsonNode value) {
        Pipeline decoded = Pipeline.decode(value);
        if (!decoded.jobId().equals(jobId)) {
            throw new IllegalArgumentException("the value is that of " + decoded.jobId());
        }
        return decoded;
    }

    /** Records a cancellation that was confirmed to a user; the stored value may be read later, or never here. */
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

    /** Records that the proposed value is stored with this version. */
    public void commitProposed(JobEntry entry, long version) {
        Pipeline nextValue = entry.proposed();
        entry.propose(null);
        commit(nextValue.jobId(), nextValue, version);
        observeDeferred(entry);
    }

    /** Records that the proposed value can no longer be stored. */
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

    /** Removes a job that has moved to its terminal record at this version. */
    public void remove(String jobId, long version) {
        JobEntry entry = entries.remove(jobId);
        removedAtVersion.merge(jobId, version, Math::max);
        if (entry != null) {
            attempts.remove(entry.committed());
            usage.add(entry.committed().spec(), -entry.activeAttempts());
        }
    }

    /** Forgets removals up to this revision, which no later watch event can precede. */
    public void forgetRemovalsUpTo(long revision) {
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
