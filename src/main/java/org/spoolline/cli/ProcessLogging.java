package org.spoolline.cli;

import java.util.List;
import java.util.Locale;
import org.slf4j.simple.SimpleServiceProvider;

/** Configures logging: slf4j-simple on standard error, at the level set by {@code LOG_LEVEL}. */
final class ProcessLogging {
    private static final String DEFAULT_LEVEL = "info";
    private static final List<String> LEVELS = List.of("error", DEFAULT_LEVEL, "debug");

    private ProcessLogging() {}

    /**
     * Configures logging; must run before the first logger is created, since slf4j reads these properties only once.
     */
    static void configure(String requestedLevel) {
        String level = supportedLevel(requestedLevel);
        System.setProperty("slf4j.provider", SimpleServiceProvider.class.getName());
        System.setProperty("org.jboss.logging.provider", "slf4j");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
        System.setProperty("org.slf4j.simpleLogger.log.org.spoolline", level);
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    }

    /**
     * Returns the requested level, or reports an unsupported one and returns the default, so that the node still
     * starts.
     */
    private static String supportedLevel(String requested) {
        if (requested == null) {
            return DEFAULT_LEVEL;
        }
        String level = requested.toLowerCase(Locale.ROOT);
        if (LEVELS.contains(level)) {
            return level;
        }
        System.err.println("spoolline: LOG_LEVEL is " + requested + ", " + DEFAULT_LEVEL + " is used");
        return DEFAULT_LEVEL;
    }
}
