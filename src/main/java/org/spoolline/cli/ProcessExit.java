package org.spoolline.cli;

/** Why a process ends: its exit code and one last line on standard error, which logs keep when nothing else is known. */
final class ProcessExit {
    /** The service could not start, for instance because an address is in use. */
    static final int CANNOT_START = 1;
    /** Wrong use, or settings that can't be used. */
    static final int BAD_SETTINGS = 2;

    private ProcessExit() {}

    /** Says why the process ends, and returns the exit code. */
    static int report(int exitCode, String reason) {
        System.err.println("spoolline: ends with exit code " + exitCode + ": " + reason);
        return exitCode;
    }
}
