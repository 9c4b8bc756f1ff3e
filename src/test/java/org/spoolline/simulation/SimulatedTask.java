package org.spoolline.simulation;

import java.util.Optional;

/** An attempt to run a task on a worker. */
final class SimulatedTask {
    /** The phase of an attempt, with its name in the protocol. */
    enum Phase {
        PULLING_IMAGE("pulling"),
        WAITING_FOR_GANG("gathering"),
        RUNNING("running"),
        EXITED("exited");

        private final String wireName;

        Phase(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }
    }

    /** Why an attempt has exited, with the name of the cause in the protocol. */
    enum ExitCause {
        COMPLETED("done"),
        FAILED("error"),
        KILLED("halted"),
        MACHINE_LOST("lost"),
        JOB_UNKNOWN("unknown"),
        ALREADY_RUNNING("in_use"),
        NO_CAPACITY("no_room"),
        GANG_INCOMPLETE("alone"),
        GANG_MEMBER_LOST("mates_gone");

        private final String wireName;

        ExitCause(String wireName) {
            this.wireName = wireName;
        }

        String wireName() {
            return wireName;
        }
    }

    private final InvariantChecker invariants;
    private final FakeWorker worker;
    private final String jobId;
    private final int index;
    private final long attempt;
    private Phase phase = Phase.PULLING_IMAGE;
    private Optional<ExitCause> cause = Optional.empty();
    private boolean checkpointSaved;

    /** Creates an attempt that fetches its image; {@code taskId} has the form {@code jobId/index}. */
    SimulatedTask(InvariantChecker invariants, FakeWorker worker, String taskId, long attempt) {
        int slash = taskId.indexOf('/');
        this.invariants = invariants;
        this.worker = worker;
        this.jobId = taskId.substring(0, slash);
        this.index = Integer.parseInt(taskId.substring(slash + 1));
        this.attempt = attempt;
    }

    String jobId() {
        return jobId;
    }

    int index() {
        return index;
    }

    long attempt() {
        return attempt;
    }

    String taskId() {
        return jobId + "/" + index;
    }

    FakeWorker worker() {
        return worker;
    }

    Phase phase() {
        return phase;
    }

    Optional<ExitCause> cause() {
        return cause;
    }

    boolean checkpointSaved() {
        return checkpointSaved;
    }

    boolean isAlive() {
        return phase != Phase.EXITED;
    }

    void enter(Phase newPhase) {
        phase = newPhase;
    }

    /** Ends the attempt on a kill command, with or without saving a checkpoint. */
    void kill(boolean withCheckpoint) {
        checkpointSaved = withCheckpoint;
        exit(ExitCause.KILLED);
    }

    /** Ends the attempt and makes its worker send a heartbeat; does nothing if the attempt has already exited. */
    void exit(ExitCause exitCause) {
        if (isAlive()) {
            end(exitCause);
            worker.requestHeartbeat();
        }
    }

    /**
     * Ends the attempt because its machine went down or its worker's lease expired; does nothing if the attempt has
     * already exited.
     */
    void lose() {
        if (isAlive()) {
            end(ExitCause.MACHINE_LOST);
        }
    }

    private void end(ExitCause exitCause) {
        boolean started = phase != Phase.PULLING_IMAGE;
        phase = Phase.EXITED;
        cause = Optional.of(exitCause);
        if (started) {
            invariants.taskEnded(this);
        }
    }
}
