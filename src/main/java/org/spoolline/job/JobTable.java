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

/** The leader's live pipelines: what is confirmed to be stored, and what is being written. */
public final class JobTable {
    /** One job. Its confirmed value is stored; its proposed one may be, may yet be, or may never be. */
    public static final class Entry {
        private Pipeline committed;
        private long version;
        private Pipeline proposed;
        private WatchEvent deferred;
        private boolean cancellationSeen;

        public Pipeline committed() {
            return committed;
        }

        public long version() {
            return version;
        }

        public boolean inFlight() {
            return proposed != null;
        }

        /** The value that is being written, or null. */
        public Pipeline proposed() {
            return proposed;
        }

        /** True when the attempt is stored and no write that drops it is under way. */
        public boolean holdsAttempt(Attempt attempt) {
            return committed.hasAttempt(attempt) && (proposed == null || proposed.hasAttempt(attempt));
        }

        /** Nothing undoes a cancellation: it counts from when it is heard of, whatever is being written. */
        public boolean cancelled() {
            return cancellationSeen || committed.cancelled() || proposed != null && proposed.cancelled();
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Map<AttemptId, Attempt>> attemptsByMachine = new HashMap<>();
    private final Map<String, Long> removedAtVersion = new HashMap<>();

    public Collection<Entry> entries() {
        return entries.values();
    }

    public Entry get(String jobId) {
        return entries.get(jobId);
    }

    /** Confirmed attempts on a machine, by start. */
    public Map<AttemptId, Attempt> attemptsOn(String machine) {
        return attemptsByMachine.getOrDefault(machine, Map.of());
    }

    /** True when a confirmed attempt is on the machine. */
    public boolean hasAttemptsOn(String machine) {
        return attemptsByMachine.containsKey(machine);
    }

    /** Forgets every job, as a new term does. */
    public void clear() {
        entries.clear();
        attemptsByMachine.clear();
        removedAtVersion.clear();
    }

    /** A value read or seen by the watch. Older versions than the known one change nothing. */
    public void observe(WatchEvent event, String jobId) {
        Entry entry = entries.get(jobId);
        if (entry != null && entry.inFlight()) {
            if (entry.deferred == null || entry.deferred.version() < event.version()) {
                entry.deferred = event;
            }
            // A write without an answer may stay under way for minutes; the end of its tasks must not wait for it.
            if (event.value() != null && Pipeline.isStoredAsCancelled(event.value())) {
                entry.cancellationSeen = true;
            }
            return;
        }
        if (entry != null && event.version() <= entry.version) {
            return;
        }
        if (event.value() == null) {
            remove(jobId, event.version());
        } else if (entry != null || event.version() > removedAtVersion.getOrDefault(jobId, 0L)) {
            // A change older than the job's removal must not bring it back: its attempts would be launched again.
            try {
                commit(jobId, decode(jobId, event.value()), event.version());
            } catch (RuntimeException e) {
                // One value that can't be read, perhaps of a later version, must not stop all the others.
                LOG.error("the stored value of {} can't be read", jobId, e);
            }
        }
    }

    /** A value that names another job than its key would stand for a job that is not in this table. */
    private static Pipeline decode(String jobId, JsonNode value) {
        Pipeline decoded = Pipeline.decode(value);
        if (!decoded.jobId().equals(jobId)) {
            throw new IllegalArgumentException("the value is that of " + decoded.jobId());
        }
        return decoded;
    }

    /** Someone has confirmed to a user that the job is cancelled; the stored value may be read later, or never here. */
    public void markCancelled(String jobId) {
        Entry entry = entries.get(jobId);
        if (entry != null) {
            entry.cancellationSeen = true;
        }
    }

    /** A write of this value is under way. */
    public void propose(Entry entry, Pipeline next) {
        entry.proposed = next;
    }

    /** The proposed value is stored with this version. */
    public void commitProposed(Entry entry, long version) {
        Pipeline next = entry.proposed;
        entry.proposed = null;
        commit(next.jobId(), next, version);
        replayDeferred(entry);
    }

    /** The proposed value can no longer be stored. */
    public void abandonProposed(Entry entry) {
        entry.proposed = null;
        replayDeferred(entry);
    }

    private void replayDeferred(Entry entry) {
        WatchEvent held = entry.deferred;
        entry.deferred = null;
        if (held != null) {
            observe(held, entry.committed.jobId());
        }
    }

    /** The job has moved to its final record. */
    public void remove(String jobId, long version) {
        Entry entry = entries.remove(jobId);
        removedAtVersion.merge(jobId, version, Math::max);
        if (entry != null) {
            entry.committed.attempts().forEach(attempt -> unindex(jobId, attempt));
        }
    }

    /** Removals up to this revision can't be undone by the watch any more. */
    public void forgetRemovalsUpTo(long revision) {
        removedAtVersion.values().removeIf(v -> v <= revision);
    }

    private void commit(String jobId, Pipeline value, long version) {
        Entry entry = entries.computeIfAbsent(jobId, u -> new Entry());
        Pipeline before = entry.committed;
        entry.committed = value;
        entry.version = version;
        if (before != null) {
            // Only the difference: a wide array changes by a few attempts a write.
            before.attempts().forEach(attempt -> {
                if (!value.hasAttempt(attempt)) {
                    unindex(jobId, attempt);
                }
            });
        }
        value.attempts().forEach(attempt -> {
            if (before == null || !before.hasAttempt(attempt)) {
                attemptsByMachine
                        .computeIfAbsent(attempt.machine(), m -> new HashMap<>())
                        .put(AttemptId.of(jobId, attempt), attempt);
            }
        });
    }

    private void unindex(String jobId, Attempt attempt) {
        Map<AttemptId, Attempt> on = attemptsByMachine.get(attempt.machine());
        if (on != null) {
            on.remove(AttemptId.of(jobId, attempt));
            if (on.isEmpty()) {
                attemptsByMachine.remove(attempt.machine());
            }
        }
    }
}
