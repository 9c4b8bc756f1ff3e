package org.spoolline.kvstore;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.Http;

/**
 * Logs once a minute how long the key-value store takes to answer: the first thing to look at in an incident. Watches,
 * which the store answers late on purpose, are not recorded here.
 */
final class LatencyLog {
    private static final Logger LOG = LoggerFactory.getLogger(LatencyLog.class);
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double TAIL_PERCENTILE = 99;

    private final Histogram latenciesMs =
            new Histogram(Constants.Store.STORE_TIMEOUT_MS * 2, Constants.Logging.LATENCY_DIGITS);
    private long refused;
    private long unanswered;
    private long lastLoggedAt;

    /** A log whose first line is due a minute from now. */
    LatencyLog(long now) {
        lastLoggedAt = now;
    }

    /**
     * Records one request.
     *
     * @param status the HTTP status of the answer, that of {@link Http.Reply#NONE} when none came
     * @param latencyMs ms from sending the request to its answer
     * @param now the event loop's time, in ms
     */
    void record(int status, long latencyMs, long now) {
        if (status == Http.Reply.NONE.status()) {
            unanswered++;
        } else if (KeyValueStoreCodec.isRefusal(status)) {
            refused++;
        } else {
            latenciesMs.recordValue(Math.min(latencyMs, latenciesMs.getHighestTrackableValue()));
        }
        if (now - lastLoggedAt >= Constants.Logging.LATENCY_LOG_MS) {
            logAndReset(now);
        }
    }

    private void logAndReset(long now) {
        LOG.info(
                "Key-value store latency: answers={} p50_ms={} p99_ms={} max_ms={} refused={} unanswered={}",
                latenciesMs.getTotalCount(),
                latenciesMs.getValueAtPercentile(MEDIAN_PERCENTILE),
                latenciesMs.getValueAtPercentile(TAIL_PERCENTILE),
                latenciesMs.getMaxValue(),
                refused,
                unanswered);
        latenciesMs.reset();
        refused = 0;
        unanswered = 0;
        lastLoggedAt = now;
    }
}
