package org.spoolline.kvstore;

import java.util.NoSuchElementException;

/** Result of reading one key: its stored state, or that the store refused or did not respond. */
public final class ReadResult {
    private static final ReadResult NO_ANSWER = new ReadResult(null);

    private final VersionedValue value;

    private ReadResult(VersionedValue value) {
        this.value = value;
    }

    /** Result of an answered read; the key may be absent. */
    static ReadResult of(VersionedValue value) {
        return new ReadResult(value);
    }

    /** Result of a read that the store refused or did not respond to in time; the state of the key is unknown. */
    static ReadResult noAnswer() {
        return NO_ANSWER;
    }

    /** Returns false if the store refused the read or did not respond, so that the state of the key is unknown. */
    public boolean answered() {
        return value != null;
    }

    /**
     * Returns the state of the key at the time of the read.
     *
     * @throws NoSuchElementException if the read was not {@link #answered}
     */
    public VersionedValue value() {
        if (value == null) {
            throw new NoSuchElementException("the read was not answered");
        }
        return value;
    }
}
