package org.spoolline.pipeline;

import java.util.Base64;
import java.util.BitSet;

/** Reads what a {@link BitWriter} wrote, in the same order; past the end there are zeros. */
final class BitReader {
    private final BitSet bits;
    private int position;

    /** Reads from the start of a text in Base64. */
    BitReader(String base64) {
        bits = BitSet.valueOf(Base64.getDecoder().decode(base64));
    }

    boolean readBit() {
        return bits.get(position++);
    }

    /** Reads a value of so many bits, the least significant first. */
    long readBits(int width) {
        long value = 0;
        for (int i = 0; i < width; i++) {
            value |= readBit() ? 1L << i : 0;
        }
        return value;
    }

    /** Reads a number from 0 in Elias gamma code, see {@link BitWriter#writeNumber}. */
    long readNumber() {
        int width = 0;
        while (readBit()) {
            width++;
        }
        return (1L << width | readBits(width)) - 1;
    }
}
