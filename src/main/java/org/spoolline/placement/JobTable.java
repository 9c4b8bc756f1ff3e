package org.spoolline.placement;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.pipeline.Attempt;
import org.spoolline.pipeline.Pipeline;
import org.spoolline.state.StateClient;
import org.spoolline.workers.Machine;

/** The leader's live pipelines: what is confirmed to be stored, and what is being written. */
public final class JobTable {
    /** One job. Its confirmed value is stored; its proposed one may be, may yet be, or may never be. */
    public static final class Entry {
        private Pipeline confirmed;
        private long version;
        private Pipeline proposed;
        private StateClient.Change held;
        private boolean cancellationSeen;

        public Pipeline confirmed() {
            return confirmed;
        }

        public long version() {
            return version;
        }

        public boolean inFlight() {
            return proposed != null;
        }

        Pipeline proposed() {
            return proposed;
        }

        /** True when the attempt is stored and no write that drops it is under way. */
        public boolean holds(Attempt attempt) {
            return confirmed.holds(attempt) && (proposed == null || proposed.holds(attempt));
        }

        /** Nothing undoes a cancellation: it counts from when it is heard of, whatever is being written. */
        public boolean cancelled() {
            return cancellationSeen || confirmed.cancelled() || proposed != null && proposed.cancelled();
        }
    }

    private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Map<Machine.Start, Attempt>> byMachine = new HashMap<>();
    private final Map<String, Long> removed = new HashMap<>();

    public Collection<Entry> entries() {
        return entries.values();
    }

    public Entry get(String uid) {
        return entries.get(uid);
    }

    /** Confirmed attempts on a machine, by start. */
    public Map<Machine.Start, Attempt> on(String machine) {
        return byMachine.getOrDefault(machine, Map.of());
    }

    /** True when a confirmed attempt is on the machine. */
    boolean anyOn(String machine) {
        return byMachine.containsKey(machine);
    }

    void clear() {
        entries.clear();
        byMachine.clear();
        removed.clear();
    }

    /** A value read or seen by the watch. Older versions than the known one change nothing. */
    void seen(StateClient.Change change, String uid) {
        Entry entry = entries.get(uid);
        if (entry != null && entry.inFlight()) {
            if (entry.held == null || entry.held.version() < change.version()) {
                entry.held = change;
            }
            // A write without an answer may stay under way for minutes; the end of its tasks must not wait for it.
            if (change.value() != null && Pipeline.saysCancelled(change.value())) {
                entry.cancellationSeen = true;
            }
            return;
        }
        if (entry != null && change.version() <= entry.version) {
            return;
        }
        if (change.value() == null) {
            drop(uid, change.version());
        } else if (entry != null || change.version() > removed.getOrDefault(uid, 0L)) {
            // A change older than the job's removal must not bring it back: its attempts would be launched again.
            try {
                confirm(uid, decode(uid, change.value()), change.version());
            } catch (RuntimeException e) {
                // One value that can't be read, perhaps of a later version, must not stop all the others.
                LOG.error("the stored value of {} can't be read", uid, e);
            }
        }
    }

    /** A value that names another job than its key would stand for a job that is not in this table. */
    private static Pipeline decode(String uid, JsonNode value) {
        Pipeline decoded = Pipeline.decode(value);
        if (!decoded.uid().equals(uid)) {
            throw new IllegalArgumentException("the value is that of " + decoded.uid());
        }
        return decoded;
    }

    /** Someone has confirmed to a user that the job is cancelled; the stored value may be read later, or never here. */
    public void cancelled(String uid) {
        Entry entry = entries.get(uid);
        if (entry != null) {
            entry.cancellationSeen = true;
        }
    }

    void propose(Entry entry, Pipeline next) {
        entry.proposed = next;
    }

    /** The proposed value is stored with this version. */
    void applied(Entry entry, long version) {
        Pipeline next = entry.proposed;
        entry.proposed = null;
        confirm(next.uid(), next, version);
        replayHeld(entry);
    }

    /** The proposed value can no longer be stored. */
    void abandoned(Entry entry) {
        entry.proposed = null;
        replayHeld(entry);
    }

    private void replayHeld(Entry entry) {
        StateClient.Change held = entry.held;
        entry.held = null;
        if (held != null) {
            seen(held, entry.confirmed.uid());
        }
    }

    /** The job has moved to its final record. */
    void drop(String uid, long version) {
        Entry entry = entries.remove(uid);
        removed.merge(uid, version, Math::max);
        if (entry != null) {
            entry.confirmed.attempts().forEach(a -> unindex(uid, a));
        }
    }

    /** Removals up to this revision can't be undone by the watch any more. */
    void watchedUpTo(long revision) {
        removed.values().removeIf(v -> v <= revision);
    }

    private void confirm(String uid, Pipeline value, long version) {
        Entry entry = entries.computeIfAbsent(uid, u -> new Entry());
        Pipeline before = entry.confirmed;
        entry.confirmed = value;
        entry.version = version;
        if (before != null) {
            // Only the difference: a wide array changes by a few attempts a write.
            before.attempts().forEach(a -> {
                if (!value.holds(a)) {
                    unindex(uid, a);
                }
            });
        }
        value.attempts().forEach(a -> {
            if (before == null || !before.holds(a)) {
                byMachine.computeIfAbsent(a.machine(), m -> new HashMap<>()).put(Machine.Start.of(uid, a), a);
            }
        });
    }

    private void unindex(String uid, Attempt a) {
        Map<Machine.Start, Attempt> on = byMachine.get(a.machine());
        if (on != null) {
            on.remove(Machine.Start.of(uid, a));
            if (on.isEmpty()) {
                byMachine.remove(a.machine());
            }
        }
    }
}
