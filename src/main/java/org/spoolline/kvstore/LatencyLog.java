package org.spoolline.kvstore;

import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Constants;

/** How long the state service takes to answer, logged once a minute: the first thing to look at in an incident. */
final class LatencyLog {
    private static final Logger LOG = LoggerFactory.getLogger(LatencyLog.class);

    private final Histogram millis =
            new Histogram(Constants.Store.STORE_TIMEOUT_MS * 2, Constants.Logging.LATENCY_DIGITS);
    private long refused;
    private long unanswered;
    private long loggedAt;

    LatencyLog(long now) {
        loggedAt = now;
    }

    void record(int status, long tookMs, long now) {
        if (status == 0) {
            unanswered++;
        } else if (status == 503 || status == 429) {
            refused++;
        } else {
            millis.recordValue(Math.min(tookMs, millis.getHighestTrackableValue()));
        }
        if (now - loggedAt >= Constants.Logging.LATENCY_LOG_MS) {
            LOG.info(
                    "state service: {} answers, p50 {} ms, p99 {} ms, max {} ms; {} refused, {} without answer",
                    millis.getTotalCount(),
                    millis.getValueAtPercentile(50),
                    millis.getValueAtPercentile(99),
                    millis.getMaxValue(),
                    refused,
                    unanswered);
            millis.reset();
            refused = 0;
            unanswered = 0;
            loggedAt = now;
        }
    }
}
