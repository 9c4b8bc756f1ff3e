package org.spoolline.pipeline;

import java.util.Base64;
import java.util.BitSet;

/** Writes values of a few bits each, one after the other; {@link BitReader} reads them in the same order. */
final class BitWriter {
    private final BitSet bits = new BitSet();
    private int length;

    void writeBit(boolean bit) {
        bits.set(length++, bit);
    }

    /** Writes the lowest {@code width} bits of the value, the least significant first. */
    void writeBits(long value, int width) {
        for (int i = 0; i < width; i++) {
            writeBit((value >>> i & 1) == 1);
        }
    }

    /**
     * Writes a number from 0 in Elias gamma code, of the number plus one: the count of the bits below its highest one, in
     * unary, and then these bits. Small numbers, which most are, take one to three bits.
     */
    void writeNumber(long value) {
        int width = Long.SIZE - 1 - Long.numberOfLeadingZeros(value + 1);
        for (int i = 0; i < width; i++) {
            writeBit(true);
        }
        writeBit(false);
        writeBits(value + 1, width);
    }

    /** What was written, in Base64 without padding; zeros at its end are left out. */
    String toBase64() {
        return Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }
}
