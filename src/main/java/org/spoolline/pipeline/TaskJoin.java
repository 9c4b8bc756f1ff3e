package org.spoolline.pipeline;

import java.util.BitSet;
import org.spoolline.config.Constants;

/**
 * The join (J2) of the fork over a job's tasks. A job can have too many tasks to store a stack frame and a count for
 * each. Instead, the join has a low watermark, below which all tasks are completed, and a window of {@link
 * Constants.Job#JOIN_WINDOW} tasks from the watermark on, with one bit for each task that is set if the task is
 * completed. This bounds the stored size for any number of tasks and any order in which they complete.
 *
 * <p>Mutable and not thread-safe: each instance belongs to one {@link Pipeline}.
 */
final class TaskJoin {
    /** Bits that one character of Base64 stands for. */
    private static final int BASE64_BITS = 6;

    private int completedBelow;
    /**
     * Completed tasks above the low watermark, by their distance to it; the task at the watermark is never completed.
     */
    private final BitSet window;

    /**
     * Restores a join.
     *
     * @param completedBelow the low watermark: all tasks with a lower index are completed
     * @param window         the completed tasks from the watermark on; owned by the join from now on
     */
    TaskJoin(int completedBelow, BitSet window) {
        this.completedBelow = completedBelow;
        this.window = window;
    }

    /** Returns the join of a job without completed tasks. */
    static TaskJoin empty() {
        return new TaskJoin(0, new BitSet());
    }

    TaskJoin copy() {
        return new TaskJoin(completedBelow, (BitSet) window.clone());
    }

    int completedBelow() {
        return completedBelow;
    }

    /** End (exclusive) of the tasks that may start now without exceeding the size limit of the window. */
    int windowEnd(int tasks) {
        return Math.min(tasks, completedBelow + Constants.Job.JOIN_WINDOW);
    }

    boolean isCompleted(int task) {
        return task < completedBelow || window.get(task - completedBelow);
    }

    int completedTasks() {
        return completedBelow + window.cardinality();
    }

    /**
     * Records a task that was not completed before, and moves the low watermark to the first task that isn't
     * completed.
     */
    void complete(int task) {
        window.set(task - completedBelow);
        int advance = window.nextClearBit(0);
        if (advance > 0) {
            completedBelow += advance;
            BitSet remaining = window.get(advance, Math.max(advance, window.length()));
            window.clear();
            window.or(remaining);
        }
    }

    boolean isWindowEmpty() {
        return window.isEmpty();
    }

    /** The window's stored form: bit i of the little-endian bytes stands for the task at the low watermark plus i. */
    byte[] windowBytes() {
        return window.toByteArray();
    }

    /**
     * Returns a join whose stored form is at least as long as that of this one while the given task and all tasks in
     * the window complete, in any order.
     *
     * @param highestTask highest index of the tasks that may complete, or -1 for none
     */
    TaskJoin grownTo(int highestTask) {
        TaskJoin grown = copy();
        // The completion of the task at the mark moves the mark and is never part of the window.
        if (highestTask > completedBelow) {
            grown.window.set(highestTask - completedBelow);
        }
        return grown;
    }

    /**
     * Forgets the completions of the last tasks in the window, so that its stored form shrinks by this many bytes or,
     * if it is shorter, to nothing.
     *
     * @return the number of completions forgotten
     */
    int forgetLast(int excessBytes) {
        int before = window.cardinality();
        int tasks = (excessBytes + 1) * BASE64_BITS;
        window.clear(Math.max(0, window.length() - tasks), window.length());
        return before - window.cardinality();
    }
}
