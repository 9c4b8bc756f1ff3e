package org.spoolline.pipeline;

/**
 * A machine's name as a prefix and a number of a fixed count of digits, so that names which differ in the number only can
 * be stored as distances.
 *
 * @param prefix what precedes the number; the whole name where it ends in no digit
 * @param digits count of digits, leading zeros included; 0 where the name ends in no digit
 * @param number the number; 0 where the name ends in no digit
 */
record MachineName(String prefix, int digits, int number) {
    /** As many as surely fit an int. */
    private static final int MAX_DIGITS = 9;

    /** Splits a name; {@link #format} puts the parts together again. */
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

    /** The name of these parts. */
    static String format(String prefix, int digits, long number) {
        String numberText = digits == 0 ? "" : Long.toString(number);
        return prefix + "0".repeat(Math.max(0, digits - numberText.length())) + numberText;
    }

    /** True when the names differ in the number at most. */
    boolean hasSamePattern(MachineName other) {
        return prefix.equals(other.prefix) && digits == other.digits;
    }

    /** Of ASCII only: the digits of other scripts would not be put together again as they were. */
    private static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    /** Written out, see {@link Attempt#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineName name && number == name.number && hasSamePattern(name);
    }

    @Override
    public int hashCode() {
        return (prefix.hashCode() * 31 + digits) * 31 + number;
    }
}
