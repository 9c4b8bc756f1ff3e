package org.spoolline.pipeline;

import java.util.Base64;
import java.util.BitSet;

/** Writes values of a few bits each into one bit string; {@link BitReader} reads them in the same order. */
final class BitWriter {
    private final BitSet bits = new BitSet();
    private int length;

    void writeBit(boolean bit) {
        bits.set(length++, bit);
    }

    /** Writes the {@code width} lowest bits of the value, least significant bit first. */
    void writeBits(long value, int width) {
        for (int i = 0; i < width; i++) {
            writeBit((value >>> i & 1) == 1);
        }
    }

    /**
     * Writes a number of 0 or more in Elias gamma code. The code is that of the number plus one: the count of bits
     * below the highest set bit, in unary, followed by these bits. Small numbers, which are the most frequent, take
     * one to three bits.
     */
    void writeNumber(long value) {
        int width = Long.SIZE - 1 - Long.numberOfLeadingZeros(value + 1);
        for (int i = 0; i < width; i++) {
            writeBit(true);
        }
        writeBit(false);
        writeBits(value + 1, width);
    }

    /** Returns the written bits in Base64 without padding; trailing zeros are left out. */
    String toBase64() {
        return Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
    }
}
