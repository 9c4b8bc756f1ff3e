package org.spoolline.job;

import com.fasterxml.jackson.databind.JsonNode;

/** The state of a job in the key-value store at the time of a read. */
public sealed interface StoredJob {
    /**
     * An accepted job that is not in a terminal state.
     *
     * @param value the encoded pipeline
     * @param version the version of that value, for a compare-and-swap
     */
    record Live(JsonNode value, long version) implements StoredJob {}

    /** A job in a terminal state, with its terminal record. */
    record Terminal(TerminalRecord record) implements StoredJob {}

    /** A job that was never accepted: neither its live key nor its terminal key exists. */
    record Absent() implements StoredJob {}
}
