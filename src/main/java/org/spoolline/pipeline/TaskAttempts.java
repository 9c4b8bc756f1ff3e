package org.spoolline.pipeline;

import java.util.Collection;
import org.agrona.collections.Hashing;
import org.agrona.collections.Int2ObjectHashMap;
import org.spoolline.config.Constants;

/**
 * The current attempts of a job's tasks, at most one for each task, and the number for new attempts.
 *
 * <p>Mutable and not thread-safe: each instance belongs to one {@link Pipeline}.
 */
final class TaskAttempts {
    /**
     * Iterator caching is disabled, because nested loops over the same attempts would share and break a cached
     * iterator.
     */
    private static final boolean CACHE_ITERATORS = false;

    private final Int2ObjectHashMap<Attempt> byTask;
    /** Upper bound (inclusive) of the attempts' numbers; 0 until the first task is placed. */
    private long highestNumber;
    /** Number of attempts of a cancelled job whose value has no space to list them. */
    private int unlisted;

    /** Creates the attempts of a job that has none now and has used numbers up to {@code highestNumber}. */
    TaskAttempts(long highestNumber) {
        this(
                new Int2ObjectHashMap<>(Constants.Job.INITIAL_ATTEMPTS, Hashing.DEFAULT_LOAD_FACTOR, CACHE_ITERATORS),
                highestNumber,
                0);
    }

    private TaskAttempts(Int2ObjectHashMap<Attempt> byTask, long highestNumber, int unlisted) {
        this.byTask = byTask;
        this.highestNumber = highestNumber;
        this.unlisted = unlisted;
    }

    TaskAttempts copy() {
        return new TaskAttempts(new Int2ObjectHashMap<>(byTask), highestNumber, unlisted);
    }

    /** A view of the listed attempts. */
    Collection<Attempt> listed() {
        return byTask.values();
    }

    /** True if exactly this attempt is among the listed ones. */
    boolean contains(Attempt attempt) {
        return attempt.equals(byTask.get(attempt.task()));
    }

    boolean hasAttemptOf(int task) {
        return byTask.containsKey(task);
    }

    /** True if no machine can be running an attempt, listed or not. */
    boolean isEmpty() {
        return byTask.isEmpty() && unlisted == 0;
    }

    void add(Attempt attempt) {
        byTask.put(attempt.task(), attempt);
    }

    /** Removes the attempt if it is the current one of its task. */
    void remove(Attempt attempt) {
        if (contains(attempt)) {
            byTask.remove(attempt.task());
        }
    }

    /** Removes the attempt and ensures that its number isn't used again. */
    void retire(Attempt attempt) {
        remove(attempt);
        highestNumber = Math.max(highestNumber, attempt.number() + 1);
    }

    /** Ensures that no number used so far is used again. */
    void skipNumber() {
        highestNumber++;
    }

    /** The highest value that {@link #highestNumber} can reach by the ends of the listed attempts. */
    long highestNumberOnceEnded() {
        long highest = highestNumber;
        for (Attempt attempt : listed()) {
            highest = Math.max(highest, attempt.number() + 1);
        }
        return highest;
    }

    /** Highest index of the tasks with a listed attempt, or -1 if there is none. */
    int highestTask() {
        int highestTask = -1;
        for (Attempt attempt : listed()) {
            highestTask = Math.max(highestTask, attempt.task());
        }
        return highestTask;
    }

    /** Length in bytes of the longest name of a machine with a listed attempt; 0 if there is none. */
    int longestMachineName() {
        int longest = 0;
        for (Attempt attempt : listed()) {
            longest = Math.max(longest, MachineName.bytes(attempt.machine()));
        }
        return longest;
    }

    /** Returns the number for new attempts, at least 1. It stays the same until {@link #retire} makes it unusable. */
    long nextNumber() {
        highestNumber = Math.max(highestNumber, 1);
        return highestNumber;
    }

    long highestNumber() {
        return highestNumber;
    }

    /** Replaces the listed attempts by their count. */
    void unlistAll() {
        unlisted += byTask.size();
        byTask.clear();
    }

    int unlisted() {
        return unlisted;
    }

    void setUnlisted(int count) {
        unlisted = count;
    }
}
