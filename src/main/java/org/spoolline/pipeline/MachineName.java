package org.spoolline.pipeline;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A machine's name, split into a prefix and a number with a fixed count of digits, so that names that differ only in
 * the number can be stored as the differences of their numbers.
 *
 * @param prefix the part before the number; the whole name if it doesn't end in a digit
 * @param digits the number's count of digits, including leading zeros; 0 if the name doesn't end in a digit
 * @param number the number; 0 if the name doesn't end in a digit
 */
record MachineName(String prefix, int digits, int number) {
    /** Every number with this many digits fits in an int. */
    private static final int MAX_DIGITS = 9;

    /** Splits a name into its parts; {@link #format} restores the name from them. */
    static MachineName parse(String machine) {
        int length = machine.length();
        int start = length;
        while (start > 0 && length - start < MAX_DIGITS && isDigit(machine.charAt(start - 1))) {
            start--;
        }
        if (start == length) {
            return new MachineName(machine, 0, 0);
        }
        return new MachineName(machine.substring(0, start), length - start, Integer.parseInt(machine.substring(start)));
    }

    /** Returns the name that consists of these parts. */
    static String format(String prefix, int digits, long number) {
        String numberText = digits == 0 ? "" : Long.toString(number);
        return prefix + "0".repeat(Math.max(0, digits - numberText.length())) + numberText;
    }

    /** Length of a name in bytes, as it is stored. */
    static int bytes(String machine) {
        return machine.getBytes(UTF_8).length;
    }

    /** True if the names differ at most in the number. */
    boolean hasSamePattern(MachineName other) {
        return prefix.equals(other.prefix) && digits == other.digits;
    }

    /** Accepts ASCII digits only, because {@link #format} could not restore the digits of other scripts. */
    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /** Implemented by hand, see {@link Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineName name && number == name.number && hasSamePattern(name);
    }

    @Override
    public int hashCode() {
        return (prefix.hashCode() * 31 + digits) * 31 + number;
    }
}
