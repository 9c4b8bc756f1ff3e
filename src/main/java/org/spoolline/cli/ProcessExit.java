package org.spoolline.cli;

/** Exit codes, and the last line on standard error, which names the reason why a process ended. */
final class ProcessExit {
    /** The node could not start, for example because an address is in use. */
    static final int CANNOT_START = 1;
    /** The arguments or the settings are invalid. */
    static final int BAD_SETTINGS = 2;

    private ProcessExit() {}

    /** Writes the exit code and the reason to standard error; returns the exit code. */
    static int report(int exitCode, String reason) {
        System.err.println("spoolline: ends with exit code " + exitCode + ": " + reason);
        return exitCode;
    }
}
