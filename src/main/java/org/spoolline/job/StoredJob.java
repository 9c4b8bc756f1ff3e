package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A job as the state service has it: its live value with that value's version, or its lasting record, or neither.
 *
 * @param live    the live value, or null
 * @param version the live value's version
 * @param terminal    the lasting record, or null
 */
public record StoredJob(JsonNode live, long version, TerminalRecord terminal) {
    /** True when the job was accepted. */
    public boolean accepted() {
        return live != null || terminal != null;
    }
}
