package org.spoolline.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The simulated clock, in milliseconds from 0, and the queue of scheduled actions. Actions run in order of their time;
 * actions of the same time run in the order in which they were scheduled, so that a run depends only on the seed.
 */
final class EventQueue {
    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long nextOrder;

    long now() {
        return now;
    }

    /** Schedules the action to run after the delay; a negative delay counts as 0. */
    void schedule(long delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), nextOrder++, action));
    }

    /** Advances the clock by the given number of seconds and runs all actions that are due in this time. */
    void run(double seconds) {
        long end = now + (long) (seconds * 1000);
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = end;
    }
}
