package org.spoolline.kvstore;

import java.util.NoSuchElementException;

/** Result of reading one key: the key as it is stored, or no answer from the store. */
public final class ReadResult {
    private static final ReadResult NO_ANSWER = new ReadResult(null);

    private final VersionedValue value;

    private ReadResult(VersionedValue value) {
        this.value = value;
    }

    /** An answered read; the key may not exist. */
    static ReadResult of(VersionedValue value) {
        return new ReadResult(value);
    }

    /** A read that the store refused, or that got no answer in time: nothing is known about the key. */
    static ReadResult noAnswer() {
        return NO_ANSWER;
    }

    /** False when nothing is known about the key. */
    public boolean answered() {
        return value != null;
    }

    /**
     * The key as it was stored when the read was answered.
     *
     * @throws NoSuchElementException when the read was not {@link #answered}
     */
    public VersionedValue value() {
        if (value == null) {
            throw new NoSuchElementException("the read was not answered");
        }
        return value;
    }
}
