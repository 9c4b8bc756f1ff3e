package org.spoolline.pipeline;

import java.util.Base64;
import java.util.BitSet;

/**
 * Reads the values that a {@link BitWriter} wrote, in the same order. Bits past the end are read as zeros, because the
 * writer leaves out trailing zeros.
 */
final class BitReader {
    private final BitSet bits;
    private int position;

    /** Starts at the first bit of a text in Base64. */
    BitReader(String base64) {
        bits = BitSet.valueOf(Base64.getDecoder().decode(base64));
    }

    boolean readBit() {
        return bits.get(position++);
    }

    /** Reads an unsigned value of {@code width} bits, least significant bit first. */
    long readBits(int width) {
        long value = 0;
        for (int i = 0; i < width; i++) {
            value |= readBit() ? 1L << i : 0;
        }
        return value;
    }

    /** Reads a number of 0 or more in Elias gamma code, see {@link BitWriter#writeNumber}. */
    long readNumber() {
        int width = 0;
        while (readBit()) {
            width++;
        }
        return (1L << width | readBits(width)) - 1;
    }
}
