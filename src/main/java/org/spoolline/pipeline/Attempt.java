package org.spoolline.pipeline;

/**
 * One start of a task on a machine. It is in the pipeline's value before the launch is sent, and leaves it only on proof
 * of its termination.
 *
 * @param task        the task's index within the job, from 0
 * @param number      the attempt's number; the numbers of one task only grow
 * @param machine     the machine's id
 * @param incarnation the incarnation of the machine in which the task was placed
 */
public record Attempt(int task, long number, String machine, long incarnation) {
    /**
     * Written out, as in other records that are hash keys. A generated method is linked at its first call, by classes made
     * then, which no class data archive holds: for the few records compared often that took 80 ms of processor time after
     * each start.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof Attempt attempt
                && task == attempt.task
                && number == attempt.number
                && incarnation == attempt.incarnation
                && machine.equals(attempt.machine);
    }

    @Override
    public int hashCode() {
        return ((task * 31 + Long.hashCode(number)) * 31 + machine.hashCode()) * 31 + Long.hashCode(incarnation);
    }
}
