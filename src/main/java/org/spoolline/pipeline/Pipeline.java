package org.spoolline.pipeline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.agrona.collections.Hashing;
import org.agrona.collections.Int2ObjectHashMap;
import org.spoolline.config.Constants;
import org.spoolline.net.Json;

/**
 * A job as the one stored value of the design: submission, CEKK state, wide join, current attempts and retry state.
 * The activity is the job itself; an array's tasks are a fork too wide for a frame each, so its join is kept as a low
 * mark plus a bitmap of a bounded window (all tasks below the mark are done), which fits any width into one value.
 *
 * <p>A job with prerequisites begins with a fork over them (F1) whose branches end as those jobs do; the join (J2) goes on
 * to the tasks. The join's count is not stored: the lasting records of the prerequisites are the truth, and whoever leads
 * steps the stored start by them. Once all are done, the value is that of a job without prerequisites.
 *
 * <p>Mutable while a cycle of decisions works on its own {@link #copy}; the confirmed one is never changed.
 */
public final class Pipeline {
    private static final String ACTIVITY = "tasks";
    /** The join of the fork over the prerequisites. */
    private static final String PREREQUISITES_JOIN = "prerequisites";

    private Submission spec;
    private JsonNode rawSpec;
    private final long submittedAt;
    private long eligibleAt;
    private boolean cancelled;
    private CekkMachine.State cekk;
    private int completedBelow;
    private final BitSet completedWindow;
    private long lastAttempt;
    /** By task: a task has one attempt at most. */
    private final Int2ObjectHashMap<Attempt> attempts;

    private int failures;
    private long notBefore;
    private final Set<String> avoided;
    /** Attempts of a cancelled job that the value has no room to list. */
    private int unlistedAttempts;

    private Pipeline(
            Submission spec,
            JsonNode rawSpec,
            long submittedAt,
            long releasedAt,
            boolean cancelled,
            CekkMachine.State cekk,
            int low,
            BitSet window,
            long lastAttempt,
            Int2ObjectHashMap<Attempt> attempts,
            int failures,
            long notBefore,
            Set<String> avoided) {
        this.spec = spec;
        this.rawSpec = rawSpec;
        this.submittedAt = submittedAt;
        this.eligibleAt = releasedAt;
        this.cancelled = cancelled;
        this.cekk = cekk;
        this.completedBelow = low;
        this.completedWindow = window;
        this.lastAttempt = lastAttempt;
        this.attempts = attempts;
        this.failures = failures;
        this.notBefore = notBefore;
        this.avoided = avoided;
    }

    /** A new pipeline; {@code submittedAt} is the time of day in milliseconds. */
    public static Pipeline accept(Submission spec, JsonNode rawSpec, long submittedAt) {
        return new Pipeline(
                spec,
                rawSpec,
                submittedAt,
                submittedAt,
                false,
                enacted(spec.dependencies()),
                0,
                new BitSet(),
                0,
                noAttempts(),
                0,
                0,
                new LinkedHashSet<>());
    }

    /** With iterators of their own: a cached one would break when loops over the same attempts nest. */
    private static Int2ObjectHashMap<Attempt> noAttempts() {
        return new Int2ObjectHashMap<>(Constants.Job.INITIAL_ATTEMPTS, Hashing.DEFAULT_LOAD_FACTOR, false);
    }

    /**
     * The job's activity under an or-closure that regenerates itself: a users' job is never called failed. Before it, a
     * fork over the prerequisites, whose branches have an empty failure stack: if one fails, the tasks are cancelled.
     */
    private static CekkMachine.State enacted(List<String> prerequisites) {
        Flow.Activity job = new Flow.Activity(ACTIVITY);
        Flow endless =
                new Flow.OrClosure(new Flow.Or(List.of(job)), ContinuationStack.BOTTOM, ContinuationStack.BOTTOM, true);
        if (prerequisites.isEmpty()) {
            return CekkMachine.start(job, ContinuationStack.BOTTOM.push(endless));
        }
        List<Flow> needed = new ArrayList<>();
        prerequisites.forEach(jobId -> needed.add(new Flow.Activity(jobId)));
        return CekkMachine.start(new Flow.Seq(List.of(new Flow.Fork(PREREQUISITES_JOIN, needed), endless)));
    }

    public Pipeline copy() {
        Pipeline copy = new Pipeline(
                spec,
                rawSpec,
                submittedAt,
                eligibleAt,
                cancelled,
                cekk,
                completedBelow,
                (BitSet) completedWindow.clone(),
                lastAttempt,
                new Int2ObjectHashMap<>(attempts),
                failures,
                notBefore,
                new LinkedHashSet<>(avoided));
        copy.unlistedAttempts = unlistedAttempts;
        return copy;
    }

    public Submission spec() {
        return spec;
    }

    public String jobId() {
        return spec.jobId();
    }

    /** Time of day of the submission, in ms: the deadline counts from it. */
    public long submittedAt() {
        return submittedAt;
    }

    /** Time of day in ms from which the job waits for room: of the submission, or of the end of its last prerequisite. */
    public long eligibleAt() {
        return eligibleAt;
    }

    /** True while the job waits for prerequisites: it has no attempt and takes nothing of its team's share. */
    public boolean hasUnsatisfiedDependencies() {
        return !spec.dependencies().isEmpty();
    }

    /** Every prerequisite is done: their branches join, which pops the success stack to the tasks. */
    public void satisfyDependencies(long timeOfDay) {
        for (String jobId : spec.dependencies()) {
            cekk = CekkMachine.succeeded(cekk, jobId);
        }
        if (!cekk.active().equals(List.of(ACTIVITY))) {
            throw new IllegalStateException(jobId() + " does not go on to its tasks");
        }
        // The environment of a join that is over is of no more use, and would take room in the value.
        cekk = enacted(List.of());
        spec = spec.withoutDependencies();
        rawSpec = SubmissionCodec.encode(spec);
        eligibleAt = timeOfDay;
    }

    /** A prerequisite was cancelled: its branch fails, and with no other way left the tasks are cancelled. */
    public void cancelWithDependency(String jobId) {
        cekk = CekkMachine.failed(cekk, jobId);
        cancelled |= cekk.failing();
    }

    public boolean cancelled() {
        return cancelled;
    }

    /** True when a stored value is that of a cancelled job, without reading the rest of it. */
    public static boolean isStoredAsCancelled(JsonNode stored) {
        return stored.path("cancelled").asBoolean();
    }

    /** The attempts, at most one for each task. */
    public Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** True when this very attempt is among them. */
    public boolean hasAttempt(Attempt attempt) {
        return attempt.equals(attempts.get(attempt.task()));
    }

    public long notBefore() {
        return notBefore;
    }

    public boolean avoids(String machine) {
        return avoided.contains(machine);
    }

    /** True once the join has succeeded and the success stack was popped to the empty flow. */
    public boolean succeeded() {
        return cekk.end() == CekkMachine.End.SUCCEEDED;
    }

    public boolean isTaskCompleted(int task) {
        return task < completedBelow || completedWindow.get(task - completedBelow);
    }

    public int completedTasks() {
        return completedBelow + completedWindow.cardinality();
    }

    /** A task completed: it joins; the last one makes the activity succeed (A2) and pops the success stack. */
    public void completeTask(int task) {
        if (succeeded() || isTaskCompleted(task)) {
            return;
        }
        completedWindow.set(task - completedBelow);
        int first = completedWindow.nextClearBit(0);
        if (first > 0) {
            completedBelow += first;
            BitSet rest = completedWindow.get(first, Math.max(first, completedWindow.length()));
            completedWindow.clear();
            completedWindow.or(rest);
        }
        if (completedTasks() == spec.tasks()) {
            cekk = CekkMachine.succeeded(cekk, ACTIVITY);
        }
    }

    /** A task failed: the failure stack (A3, O3) sets the job up for another way, elsewhere and later. */
    public void recordTaskFailure(String machine, long timeOfDay) {
        if (succeeded()) {
            return;
        }
        cekk = CekkMachine.failed(cekk, ACTIVITY);
        int doublings = Math.min(failures, Constants.Job.FAILURE_BACKOFF_DOUBLINGS);
        failures++;
        notBefore = timeOfDay + (Constants.Job.FAILURE_BACKOFF_MS << doublings);
        avoided.add(machine);
        if (avoided.size() > Constants.Job.AVOIDED_MACHINES_MAX) {
            avoided.remove(avoided.iterator().next());
        }
    }

    public int failures() {
        return failures;
    }

    /** A pause without blame, after a start that was refused. */
    public void backOffUntil(long timeOfDay) {
        notBefore = Math.max(notBefore, timeOfDay);
    }

    public void cancel() {
        cancelled = true;
    }

    /**
     * Cancels a job whose value, written under larger limits, has become too large to be written with its attempts. Only
     * their number is kept: it counts against the team's limit until cancel_s after this was stored, by when no task of a
     * cancelled job is on any machine. Workers end a task that no value lists as soon as they report it.
     */
    public void cancelWithUnlistedAttempts() {
        cancelled = true;
        unlistedAttempts += attempts.size();
        attempts.clear();
    }

    /** Number of attempts that may still be on machines, though the value does not list them. */
    public int unlistedAttempts() {
        return unlistedAttempts;
    }

    /** The time by which unlisted attempts are gone is over. */
    public void clearUnlistedAttempts() {
        unlistedAttempts = 0;
    }

    /** True once a cancelled job has no attempt left, so that its lasting record can take the value's place. */
    public boolean cancelledWithoutAttempts() {
        return cancelled && attempts.isEmpty() && unlistedAttempts == 0;
    }

    /** Bytes by which the stored join may still grow, at most, as tasks end in any order. */
    public int joinGrowthBytes() {
        int end = completedWindow.length();
        for (Attempt attempt : attempts.values()) {
            end = Math.max(end, attempt.task() + 1 - completedBelow);
        }
        return base64Length(end) - base64Length(completedWindow.length());
    }

    private static int base64Length(int bits) {
        int bytes = (bits + Byte.SIZE - 1) / Byte.SIZE;
        return (bytes * 4 + 2) / 3;
    }

    /** An attempt that was decided but not stored leaves no trace. */
    public void withdrawAttempt(Attempt attempt) {
        if (hasAttempt(attempt)) {
            attempts.remove(attempt.task());
        }
    }

    /** An attempt has ended with its task done. */
    public void completeAttempt(Attempt attempt) {
        withdrawAttempt(attempt);
        completeTask(attempt.task());
    }

    /** An attempt has ended otherwise: its task may start again, but never under the same number. */
    public void loseAttempt(Attempt attempt) {
        withdrawAttempt(attempt);
        lastAttempt = Math.max(lastAttempt, attempt.number() + 1);
    }

    /** True once a task of the job has been placed. */
    public boolean hasStarted() {
        return lastAttempt > 0;
    }

    /**
     * Number for new starts. The numbers of any one task only grow, since {@link #loseAttempt} goes past the one lost; tasks
     * that start for the first time share a number, and with it their machine's place in the stored form.
     */
    public long nextAttemptNumber() {
        lastAttempt = Math.max(lastAttempt, 1);
        return lastAttempt;
    }

    public void addAttempt(Attempt attempt) {
        attempts.put(attempt.task(), attempt);
    }

    /** Tasks neither done nor on a machine, lowest first, at most {@code most}, within the join's window. */
    public List<Integer> unplacedTasks(int most) {
        List<Integer> found = new ArrayList<>();
        if (cancelled || succeeded()) {
            return found;
        }
        int end = Math.min(spec.tasks(), completedBelow + Constants.Job.JOIN_WINDOW);
        for (int task = completedBelow; task < end && found.size() < most; task++) {
            if (!isTaskCompleted(task) && !attempts.containsKey(task)) {
                found.add(task);
            }
        }
        return found;
    }

    /** Number of tasks neither done nor on a machine. */
    public int unplacedTaskCount() {
        if (cancelled || succeeded()) {
            return 0;
        }
        int held = 0;
        for (Attempt attempt : attempts.values()) {
            if (!isTaskCompleted(attempt.task())) {
                held++;
            }
        }
        return spec.tasks() - completedTasks() - held;
    }

    /** The stored form. */
    public ObjectNode encode() {
        boolean withoutTasks = hasUnsatisfiedDependencies() || unlistedAttempts > 0;
        int version = withoutTasks ? Constants.Job.PIPELINE_VERSION_DEPENDENT : Constants.Job.PIPELINE_VERSION;
        ObjectNode value = Json.object().put("ver", version);
        value.set("job", rawSpec);
        value.put("at", eligibleAt);
        if (cancelled) {
            value.put("cancelled", true);
        }
        if (unlistedAttempts > 0) {
            value.put("unlisted", unlistedAttempts);
        }
        if (withoutTasks) {
            return value;
        }
        if (submittedAt != eligibleAt) {
            value.put("sub", submittedAt);
        }
        value.set("k", ContinuationStackCodec.encode(cekk));
        value.put("low", completedBelow);
        if (!completedWindow.isEmpty()) {
            value.put("win", Base64.getEncoder().withoutPadding().encodeToString(completedWindow.toByteArray()));
        }
        value.put("n", lastAttempt);
        if (!attempts.isEmpty()) {
            value.set("on", AttemptsCodec.encode(attempts.values(), lastAttempt));
        }
        if (failures > 0) {
            value.put("fails", failures);
            ArrayNode bad = value.putArray("avoid");
            avoided.forEach(bad::add);
        }
        if (notBefore > 0) {
            value.put("notBefore", notBefore);
        }
        return value;
    }

    /** Reads the stored form, of any version that was ever written. */
    public static Pipeline decode(JsonNode value) {
        if (value.path("ver").asInt() == Constants.Job.PIPELINE_VERSION_DEPENDENT) {
            return decodeWithoutTasks(value);
        }
        Int2ObjectHashMap<Attempt> attempts = noAttempts();
        long last = value.path("n").asLong();
        switch (value.path("ver").asInt()) {
            case Constants.Job.PIPELINE_VERSION -> AttemptsCodec.decode(
                    value.path("on"), last, attempt -> attempts.put(attempt.task(), attempt));
            case Constants.Job.PIPELINE_VERSION_LEGACY -> decodeRuns(value.path("on"), attempts);
            default -> throw new IllegalArgumentException("pipeline value of unknown version " + value.path("ver"));
        }
        Set<String> avoided = new LinkedHashSet<>();
        value.path("avoid").forEach(m -> avoided.add(m.asText()));
        JsonNode raw = value.path("job");
        BitSet window =
                BitSet.valueOf(Base64.getDecoder().decode(value.path("win").asText("")));
        return new Pipeline(
                SubmissionCodec.decodeStored(raw),
                raw,
                value.path("sub").asLong(value.path("at").asLong()),
                value.path("at").asLong(),
                isStoredAsCancelled(value),
                ContinuationStackCodec.decode(value.path("k")),
                value.path("low").asInt(),
                window,
                last,
                attempts,
                value.path("fails").asInt(),
                value.path("notBefore").asLong(),
                avoided);
    }

    /**
     * A job that waits for prerequisites, whose submission says all since where it stands is derived from other jobs; or a
     * cancelled one whose attempts are not listed.
     */
    private static Pipeline decodeWithoutTasks(JsonNode value) {
        JsonNode raw = value.path("job");
        Pipeline decoded =
                accept(SubmissionCodec.decodeStored(raw), raw, value.path("at").asLong());
        decoded.cancelled = isStoredAsCancelled(value);
        decoded.unlistedAttempts = value.path("unlisted").asInt();
        if (!decoded.hasUnsatisfiedDependencies() && decoded.unlistedAttempts <= 0) {
            throw new IllegalArgumentException("stored pipeline neither waits nor has unlisted attempts");
        }
        return decoded;
    }

    /** The earlier form: a group is an array of machine, session, number and runs of tasks as text. */
    private static void decodeRuns(JsonNode groups, Int2ObjectHashMap<Attempt> attempts) {
        for (JsonNode group : groups) {
            for (String run : group.path(3).asText().split(",")) {
                int dash = run.indexOf('-');
                int from = Integer.parseInt(dash < 0 ? run : run.substring(0, dash));
                int to = dash < 0 ? from : Integer.parseInt(run.substring(dash + 1));
                for (int task = from; task <= to; task++) {
                    attempts.put(
                            task,
                            new Attempt(
                                    task,
                                    group.path(2).asLong(),
                                    group.path(0).asText(),
                                    group.path(1).asLong()));
                }
            }
        }
    }
}
