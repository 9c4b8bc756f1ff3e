package org.spoolline.metrics;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.EventLoop;
import org.spoolline.net.Json;

/** Counts events since the process began; what has come since the last line is logged once a minute. */
public final class Counters {
    private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
    private static final Event[] EVENTS = Event.values();

    private final EventLoop loop;
    private final long[] counts = new long[EVENTS.length];
    private final long[] logged = new long[EVENTS.length];

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

    /** Counts an event that has come so many times. */
    public void count(Event event, int times) {
        counts[event.ordinal()] += times;
    }

    /** How often the event has come. */
    public long of(Event event) {
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
        String news = sinceLastLine();
        if (!news.isEmpty()) {
            LOG.info("last minute:{}", news);
        }
        loop.after(Constants.Logging.COUNTERS_LOG_MS, this::log);
    }

    private String sinceLastLine() {
        StringBuilder text = new StringBuilder();
        for (Event event : EVENTS) {
            int index = event.ordinal();
            long news = counts[index] - logged[index];
            logged[index] = counts[index];
            if (news != 0) {
                text.append(' ').append(event.label()).append(' ').append(news);
            }
        }
        return text.toString();
    }
}
