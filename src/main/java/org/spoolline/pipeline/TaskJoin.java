package org.spoolline.pipeline;

import java.util.BitSet;
import org.spoolline.config.Constants;

/**
 * The join (J2) of the fork over a job's tasks, which is too wide for a frame and a count each. All tasks below a mark
 * are completed; beyond it a window of {@link Constants.Job#JOIN_WINDOW} tasks says of each whether it is. That bounds
 * the stored size whatever the number of tasks and the order in which they complete.
 *
 * <p>Mutable and not safe for threads: it belongs to one {@link Pipeline}.
 */
final class TaskJoin {
    private int completedBelow;
    /** Completed tasks from the mark on, by their distance to it; the task at the mark is never among them. */
    private final BitSet window;

    /**
     * Continues a join.
     *
     * @param completedBelow the mark: all tasks with a lower index are completed
     * @param window         the tasks that are completed from the mark on; owned by the join from now on
     */
    TaskJoin(int completedBelow, BitSet window) {
        this.completedBelow = completedBelow;
        this.window = window;
    }

    /** The join of a job of which no task is completed. */
    static TaskJoin empty() {
        return new TaskJoin(0, new BitSet());
    }

    TaskJoin copy() {
        return new TaskJoin(completedBelow, (BitSet) window.clone());
    }

    int completedBelow() {
        return completedBelow;
    }

    /** End (exclusive) of the tasks that may start now, so that the window keeps within its limit. */
    int windowEnd(int tasks) {
        return Math.min(tasks, completedBelow + Constants.Job.JOIN_WINDOW);
    }

    boolean isCompleted(int task) {
        return task < completedBelow || window.get(task - completedBelow);
    }

    int completedTasks() {
        return completedBelow + window.cardinality();
    }

    /** Marks a task that is not completed yet, and moves the mark past all that are completed without a gap. */
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

    /** The window's stored form: bit i of the little-endian bytes is the task at the mark plus i. */
    byte[] windowBytes() {
        return window.toByteArray();
    }

    /**
     * Bytes by which the stored window may still grow, at most, while the given task and all in the window complete in
     * any order.
     *
     * @param highestTask highest index of the tasks that may complete, or -1 for none
     */
    int growthBytes(int highestTask) {
        int windowLength = Math.max(window.length(), highestTask + 1 - completedBelow);
        return base64Length(windowLength) - base64Length(window.length());
    }

    /** Characters of so many bits in Base64 without padding. */
    private static int base64Length(int bits) {
        int bytes = (bits + Byte.SIZE - 1) / Byte.SIZE;
        return (bytes * 4 + 2) / 3;
    }
}
