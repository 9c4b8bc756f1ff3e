package org.spoolline.pipeline;

/**
 * One start of a task on a machine, in the session of that machine in which it was placed. It is in the pipeline's
 * value before the launch is sent, and leaves it only on proof that it is gone.
 */
public record Attempt(int task, long number, String machine, long incarnation) {
    /**
     * Written out, as in other records that are keys. A generated method is linked at its first call by classes spun then, which no class data
     * archive holds: those of the few records compared often took 80 ms of processor time after each start.
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
