package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
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
    /** One job. Its committed value is stored; its proposed one may be, may yet be, or may never be. */
    public static final class Entry {
        private Pipeline committed;
        private long version;
        private Pipeline proposed;
        /** The newest event that was observed while a write was in flight, or null. */
        private WatchEvent deferred;

        private boolean cancellationSeen;
        /** Committed attempts that this leader has decided to have ended. */
        private final Set<Attempt> released = new HashSet<>();
        /** Unlisted attempts of the committed value that it has decided to have ended. */
        private int releasedUnlisted;

        private Entry(Pipeline committed, long version) {
            this.committed = committed;
            this.version = version;
        }

        /** The stored value, which is never changed in place. */
        public Pipeline committed() {
            return committed;
        }

        /** Version of the committed value in the key-value store. */
        public long version() {
            return version;
        }

        /** True while a write of the job has no known outcome. */
        public boolean inFlight() {
            return proposed != null;
        }

        /** The value that is being written, or null while {@link #inFlight} is false. */
        public Pipeline proposed() {
            return proposed;
        }

        /**
         * True when the attempt is stored, no write in flight removes it, and its end is not decided. Only such an attempt
         * may be launched or run on.
         */
        public boolean holdsAttempt(Attempt attempt) {
            return committed.hasAttempt(attempt)
                    && (proposed == null || proposed.hasAttempt(attempt))
                    && !isReleased(attempt);
        }

        /** True for a committed attempt whose end is decided, though perhaps not stored. */
        public boolean isReleased(Attempt attempt) {
            return released.contains(attempt);
        }

        /** Number of committed attempts, listed or not, whose end is not decided. */
        private int heldAttempts() {
            int held = committed.attempts().size() - released.size();
            return held + committed.unlistedAttempts() - releasedUnlisted;
        }

        private void commit(Pipeline value, long newVersion) {
            committed = value;
            version = newVersion;
            released.removeIf(attempt -> !value.hasAttempt(attempt));
            releasedUnlisted = 0;
        }

        /** True once a cancellation is known. Nothing undoes one, so it counts whatever is being written. */
        public boolean cancelled() {
            return cancellationSeen || committed.cancelled() || proposed != null && proposed.cancelled();
        }

        private void defer(WatchEvent event) {
            if (deferred == null || deferred.version() < event.version()) {
                deferred = event;
            }
            // A write without an answer may stay in flight for minutes; stopping the tasks must not wait for it.
            if (!event.isDeletion() && Pipeline.isStoredAsCancelled(event.value())) {
                cancellationSeen = true;
            }
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final AttemptIndex attempts = new AttemptIndex();
    private final TeamUsageIndex usage = new TeamUsageIndex();
    private final Map<String, Long> removedAtVersion = new HashMap<>();

    /** All live jobs, in the order in which they became known. */
    public Collection<Entry> entries() {
        return entries.values();
    }

    /** The live job, or null when it is not known or no longer live. */
    public Entry get(String jobId) {
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
     * Records which committed attempts have ended, as this leader has decided: those that {@code next} lacks. Their capacity
     * is free from now on, so the decision is final for this term: whatever is learnt later they are not launched, and every
     * further value that this leader proposes lacks them too.
     *
     * @return how many of them were not released before
     */
    public int release(Entry entry, Pipeline next) {
        int heldBefore = entry.heldAttempts();
        for (Attempt attempt : entry.committed.attempts()) {
            if (!next.hasAttempt(attempt)) {
                entry.released.add(attempt);
            }
        }
        entry.releasedUnlisted = Math.max(0, entry.committed.unlistedAttempts() - next.unlistedAttempts());
        int newlyReleased = heldBefore - entry.heldAttempts();
        usage.add(entry.committed.spec(), -newlyReleased);
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
        Entry entry = entries.get(jobId);
        if (entry != null && entry.inFlight()) {
            entry.defer(event);
            return;
        }
        if (entry != null && event.version() <= entry.version) {
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
        Entry entry = entries.get(jobId);
        if (entry != null) {
            entry.cancellationSeen = true;
        }
    }

    /** Records that a write of this value is in flight. */
    public void propose(Entry entry, Pipeline next) {
        entry.proposed = next;
    }

    /** Records that the proposed value is stored with this version. */
    public void commitProposed(Entry entry, long version) {
        Pipeline next = entry.proposed;
        entry.proposed = null;
        commit(next.jobId(), next, version);
        observeDeferred(entry);
    }

    /** Records that the proposed value can no longer be stored. */
    public void abandonProposed(Entry entry) {
        entry.proposed = null;
        observeDeferred(entry);
    }

    private void observeDeferred(Entry entry) {
        WatchEvent deferred = entry.deferred;
        entry.deferred = null;
        if (deferred != null) {
            observe(deferred, entry.committed.jobId());
        }
    }

    /** Removes a job that has moved to its terminal record at this version. */
    public void remove(String jobId, long version) {
        Entry entry = entries.remove(jobId);
        removedAtVersion.merge(jobId, version, Math::max);
        if (entry != null) {
            attempts.remove(entry.committed);
            usage.add(entry.committed.spec(), -entry.heldAttempts());
        }
    }

    /** Forgets removals up to this revision, which no later watch event can precede. */
    public void forgetRemovalsUpTo(long revision) {
        removedAtVersion.values().removeIf(version -> version <= revision);
    }

    private void commit(String jobId, Pipeline value, long version) {
        Entry entry = entries.get(jobId);
        if (entry == null) {
            Entry added = new Entry(value, version);
            entries.put(jobId, added);
            attempts.add(value);
            usage.add(value.spec(), added.heldAttempts());
            return;
        }
        Pipeline before = entry.committed;
        usage.add(before.spec(), -entry.heldAttempts());
        entry.commit(value, version);
        usage.add(value.spec(), entry.heldAttempts());
        attempts.replace(before, value);
    }
}
