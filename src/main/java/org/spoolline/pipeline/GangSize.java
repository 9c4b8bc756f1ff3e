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
     * True if the attempts of all members fit a value when they are on as few machines as possible, which is the form
     * that takes the least space.
     *
     * @param tasksPerMachine the number of members that fit the largest machine
     * @param maxBytes        limit on the value
     */
    public static boolean fitsValue(Submission gang, int tasksPerMachine, int maxBytes) {
        if (gang.tasks() / MAX_MEMBERS_PER_BYTE > maxBytes) {
            return false;
        }
        Pipeline placed = Pipeline.accept(EncodedSubmission.of(gang.withoutDependencies()), 0);
        long number = placed.nextAttemptNumber();
        for (int task = 0; task < gang.tasks(); task++) {
            placed.addAttempt(new Attempt(task, number, machineName(1 + task / tasksPerMachine), 1));
        }
        return placed.maxStoredBytes() <= maxBytes;
    }

    private static String machineName(int machine) {
        return MachineName.format("", Constants.Job.MACHINE_NAME_BYTES, machine);
    }
}
