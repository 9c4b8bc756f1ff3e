package org.spoolline.cli;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spoolline.config.Settings;
import org.spoolline.config.SettingsFile;

/**
 * Logs at each start which settings the node uses. Logs records field by field: the {@code toString} of a record
 * generates classes at run time, and a class data archive can't contain these.
 */
final class SettingsLog {
    private static final Logger LOG = LoggerFactory.getLogger(SettingsLog.class);
    private static final long BYTES_PER_MIB = 1024 * 1024;

    private SettingsLog() {}

    /** Logs the replaced and the unknown fields of the settings file. */
    static void logFindings(SettingsFile.Loaded loaded) {
        loaded.replacements().forEach(SettingsLog::logReplacement);
        if (!loaded.unknownFields().isEmpty()) {
            LOG.info("Ignored unknown settings fields: fields={}", loaded.unknownFields());
        }
    }

    private static void logReplacement(SettingsFile.Replacement replacement) {
        LOG.error(
                "Replaced settings field by a default: field={} found={} used={}",
                replacement.field(),
                replacement.found(),
                replacement.used());
    }

    /** Logs the settings in use, and each process limit that is too low to serve in full. */
    static void logSummary(Settings settings) {
        LOG.info(
                "Settings in use: controllers={} teams={} worker_lease_ms={} cancel_ms={} leadership_ms={} heap_mib={}",
                settings.controllers(),
                settings.teams().size(),
                settings.workers().leaseMs(),
                settings.workers().cancelMs(),
                settings.leadershipMs(),
                Runtime.getRuntime().maxMemory() / BYTES_PER_MIB);
        logLimits("current", settings.storeLimits());
        if (settings.storeLimits().announced() != null) {
            logLimits("announced", settings.storeLimits().announced());
        }
        settings.insufficientLimits().forEach(limit -> LOG.error("Process limit too low to serve in full: {}", limit));
    }

    private static void logLimits(String validity, Settings.StoreLimits limits) {
        LOG.info(
                "Key-value store limits: validity={} requests_per_s={} writes_per_s={} value_bytes={} transaction_writes={}",
                validity,
                limits.requestsPerS(),
                limits.writesPerS(),
                limits.valueBytes(),
                limits.txnOps());
    }
}
