package org.spoolline.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/** Counts events since the start of the process and logs their increments once a minute. Not thread-safe. */
public final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    private static final Event[] EVENTS = Event.values();

    private final EventLoop loop;
    private final long[] counts = new long[EVENTS.length];
    private final long[] loggedCounts = new long[EVENTS.length];

    /** Creates counters that start at 0; nothing is logged before {@link #start}. */
    public Counters(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts the periodic logging. */
    public void start() {
        loop.after(Constants.Logging.COUNTERS_LOG_MS, this::log);
    }

    /** Counts one occurrence of the event. */
    public void count(Event event) {
        counts[event.ordinal()]++;
    }

    /** Counts the given number of occurrences of the event. */
    public void count(Event event, int times) {
        counts[event.ordinal()] += times;
    }

    /** Returns the number of occurrences of the event since the start of the process. */
    public long get(Event event) {
        return counts[event.ordinal()];
    }

    /** Returns all nonzero counts by label. */
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
        String increments = incrementsSinceLastLog();
        if (!increments.isEmpty()) {
            LOG.info("Counters of the last minute:{}", increments);
        }
        loop.after(Constants.Logging.COUNTERS_LOG_MS, this::log);
    }

    /** Returns the nonzero increments since the last call as {@code label=count} pairs, each preceded by a space. */
    private String incrementsSinceLastLog() {
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
