package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;

/** What the key-value store holds of a job at the time of a read. */
public sealed interface StoredJob {
    /**
     * An accepted job that is not in a terminal state.
     *
     * @param value   the stored pipeline
     * @param version the version of that value, for a compare-and-swap
     */
    record Live(JsonNode value, long version) implements StoredJob {}

    /** A job in a terminal state, by its record. */
    record Terminal(TerminalRecord record) implements StoredJob {}

    /** A job that was never accepted: neither key exists. */
    record Absent() implements StoredJob {}
}
