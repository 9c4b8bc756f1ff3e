package org.spoolline.pipeline;

/**
 * One execution of a task on a machine. The pipeline's stored value lists the attempt before the launch is sent to the
 * machine, and removes it only on proof that the attempt has ended.
 *
 * @param task        the task's index within the job, from 0
 * @param number      the attempt's number, which increases with each further attempt of the same task
 * @param machine     the machine's id
 * @param incarnation the machine's incarnation when the task was placed
 */
public record Attempt(int task, long number, String machine, long incarnation) {
    /**
     * Implemented by hand, as in the other records that are used as hash keys. The JVM links the generated methods of a
     * record at their first call, with classes that it creates at that point and that a class data archive can't
     * contain. For the few records that are compared often, this took 80 ms of processor time after each start.
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
