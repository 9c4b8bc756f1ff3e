package org.spoolline.pipeline;

import org.spoolline.config.Constants;

/**
 * The space that a gang takes in its stored value. All members are placed by one write, so their attempts must fit one
 * value.
 */
public final class GangSize {
    /** Members that one character of the stored form stands for at most: two bits for each, in Base64. */
    private static final int MAX_MEMBERS_PER_BYTE = 3;

    private GangSize() {}

    /**
     * True if the attempts of all members fit a value when they are on as few machines as possible. That takes the
     * least space but for machines with consecutive names, which can't be counted on.
     *
     * @param tasksPerMachine the number of members that fit the largest machine
     * @param maxBytes        limit on the value
     */
    public static boolean fitsValue(Submission gang, int tasksPerMachine, int maxBytes) {
        if (gang.tasks() / MAX_MEMBERS_PER_BYTE > maxBytes) {
            return false;
        }
        Pipeline placed = Pipeline.accept(EncodedSubmission.of(gang), Constants.StoredValue.LATEST_TIME_OF_DAY - 1);
        if (placed.hasUnsatisfiedDependencies()) {
            placed.satisfyDependencies(Constants.StoredValue.LATEST_TIME_OF_DAY);
        }
        long number = placed.nextAttemptNumber();
        for (int task = 0; task < gang.tasks(); task++) {
            placed.addAttempt(new Attempt(task, number, machineName(task / tasksPerMachine), 1));
        }
        return placed.maxStoredBytes() <= maxBytes;
    }

    private static String machineName(int machine) {
        long number = (machine + 1L) * Constants.StoredValue.GANG_MACHINE_NAME_GAP;
        return MachineName.format("m-", Constants.StoredValue.MACHINE_NAME_BYTES - 2, number);
    }
}
