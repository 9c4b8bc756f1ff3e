package org.spoolline.kvstore;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;
import org.spoolline.net.Http;

/**
 * Logs the response latency of the key-value store once a minute, since operators check it first in an incident.
 * Watches are not recorded: the store delays their responses on purpose.
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

    /** Creates a log that writes its first line no earlier than one minute after {@code now}. */
    LatencyLog(long now) {
        lastLoggedAt = now;
    }

    /**
     * Records one request.
     *
     * @param status the HTTP status of the response, or that of {@link Http.Reply#NONE} if there was none
     * @param latencyMs ms from sending the request to receiving its response
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
