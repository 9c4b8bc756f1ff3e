package org.spoolline.pipeline;

import java.util.Collection;
import org.agrona.collections.Hashing;
import org.agrona.collections.Int2ObjectHashMap;
import org.spoolline.config.Constants;

/**
 * The current attempts of a job's tasks, at most one for each task, and the numbers that new ones get.
 *
 * <p>Mutable and not safe for threads: it belongs to one {@link Pipeline}.
 */
final class TaskAttempts {
    /** With iterators of their own: a cached one would break when loops over the same attempts nest. */
    private static final boolean CACHE_ITERATORS = false;

    private final Int2ObjectHashMap<Attempt> byTask;
    /** A number that no attempt's exceeds; 0 until the first task is placed. */
    private long highestNumber;
    /** Attempts of a cancelled job that are too many for its value to list. */
    private int unlisted;

    /** No attempts, of a job for which numbers up to the given one were used. */
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

    /** True when this very attempt is among the listed ones. */
    boolean contains(Attempt attempt) {
        return attempt.equals(byTask.get(attempt.task()));
    }

    boolean hasAttemptOf(int task) {
        return byTask.containsKey(task);
    }

    /** True when no attempt may be on any machine, listed or not. */
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

    /** Removes the attempt and makes sure that its number isn't used again. */
    void retire(Attempt attempt) {
        remove(attempt);
        highestNumber = Math.max(highestNumber, attempt.number() + 1);
    }

    /** The number of new attempts, at least 1: the same until {@link #retire} goes past it. */
    long nextNumber() {
        highestNumber = Math.max(highestNumber, 1);
        return highestNumber;
    }

    long highestNumber() {
        return highestNumber;
    }

    /** Keeps the number of the attempts, and no longer which they are. */
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
