package org.spoolline.config;

/** Thrown when settings are missing or invalid; the message is one line that names the file or the field. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public SettingsException(String message) {
        super(message);
    }
}
