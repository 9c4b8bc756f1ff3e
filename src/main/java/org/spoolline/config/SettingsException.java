package org.spoolline.config;

/** The settings can't be used; the message is one line that names the file or the field. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** An exception with a message of one line. */
    public SettingsException(String message) {
        super(message);
    }
}
