package org.spoolline.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time in milliseconds from 0, and the actions to come. Actions run in order of their time, those of the same
 * time in the order in which they were added, so a run depends on nothing but the seed.
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

    /** Runs the action after the delay; a negative delay counts as none. */
    void schedule(long delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), nextOrder++, action));
    }

    /** Runs all actions of the next seconds and leaves the clock at their end. */
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
