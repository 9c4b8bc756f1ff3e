package org.spoolline.job;

/** The keys of jobs in the key-value store. A job moves once from its live key to its terminal key and never back. */
public final class JobKeys {
    /** Prefix of live pipelines. */
    public static final String LIVE_PREFIX = "job/";
    /** Prefix of the records of jobs in a terminal state. */
    public static final String TERMINAL_PREFIX = "final/";

    private JobKeys() {}

    /** The key of a job's live pipeline. */
    public static String live(String jobId) {
        return LIVE_PREFIX + jobId;
    }

    /** The key of a job's terminal record. */
    public static String terminal(String jobId) {
        return TERMINAL_PREFIX + jobId;
    }

    /** The id of the job whose live pipeline is stored under the key. */
    public static String jobIdOfLive(String key) {
        return key.substring(LIVE_PREFIX.length());
    }
}
