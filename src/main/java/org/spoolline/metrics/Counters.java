package org.spoolline.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/** Counts events since the process began, and logs once a minute how often each one occurred in it. Not thread-safe. */
public final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    private static final Event[] EVENTS = Event.values();

    private final EventLoop loop;
    private final long[] counts = new long[EVENTS.length];
    private final long[] loggedCounts = new long[EVENTS.length];

    /** Counters that start at 0; nothing is logged before {@link #start}. */
    public Counters(EventLoop loop) {
        this.loop = loop;
    }

    /** Begins to log. */
    public void start() {
        loop.after(Constants.Logging.COUNTERS_LOG_MS, this::log);
    }

    /** Counts one event. */
    public void count(Event event) {
        counts[event.ordinal()]++;
    }

    /** Counts an event that has occurred this many times. */
    public void count(Event event, int times) {
        counts[event.ordinal()] += times;
    }

    /** How often the event has occurred. */
    public long get(Event event) {
        return counts[event.ordinal()];
    }

    /** All counts that are not 0, by label. */
    public ObjectNode toJson() {
        ObjectNode all = Json.object();
        for (Event event : EVENTS) {
            if (counts[event.ordinal()] != 0) {
                all.put(event.label(), counts[event.ordinal()]);
            }
        }
        return all;
    }

    private void log() {
        String increments = takeIncrements();
        if (!increments.isEmpty()) {
            LOG.info("Counters of the last minute:{}", increments);
        }
        loop.after(Constants.Logging.COUNTERS_LOG_MS, this::log);
    }

    /** What was counted since the last call, as {@code label=count} pairs with a space before each. */
    private String takeIncrements() {
        StringBuilder text = new StringBuilder();
        for (Event event : EVENTS) {
            int index = event.ordinal();
            long increment = counts[index] - loggedCounts[index];
            loggedCounts[index] = counts[index];
            if (increment != 0) {
                text.append(' ').append(event.label()).append('=').append(increment);
            }
        }
        return text.toString();
    }
}
