package org.spoolline.intake;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A job as the state service has it: its live value with that value's version, or its lasting record, or neither.
 *
 * @param live    the live value, or null
 * @param version the live value's version
 * @param last    the lasting record, or null
 */
record StoredJob(JsonNode live, long version, FinalRecord last) {
    /** True when the job was accepted. */
    boolean known() {
        return live != null || last != null;
    }
}
