package org.spoolline.cluster;

import java.util.Map;
import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/** What a machine's last heartbeat said; numbers are -1 before the first one. */
final class LastHeartbeat {
    private long receivedAt = -1;
    private String address = "";
    private long incarnation = -1;
    private long incarnationSince = -1;
    private long number = -1;
    private long token = -1;
    private OptionalDouble interruptionNoticeS = OptionalDouble.empty();
    private Map<AttemptId, TaskStatus> tasks = Map.of();

    /** When it came, in ms of the loop's clock, or -1. */
    long receivedAt() {
        return receivedAt;
    }

    /** Host and port at which the worker takes commands, or empty. */
    String address() {
        return address;
    }

    long incarnation() {
        return incarnation;
    }

    /** When the first heartbeat of its incarnation came, in ms of the loop's clock, or -1. */
    long incarnationSince() {
        return incarnationSince;
    }

    long number() {
        return number;
    }

    /** The highest token that the worker had seen. */
    long token() {
        return token;
    }

    boolean hasInterruptionNotice() {
        return interruptionNoticeS.isPresent();
    }

    Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /**
     * True when the heartbeat was sent after this one. A worker's highest token only grows: a heartbeat that shows a
     * lower one is of another life of the machine, whatever its numbers say.
     */
    boolean precedes(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(incarnation, number) && heartbeat.token() >= token;
    }

    /** Replaces this heartbeat; {@code listedTasks} holds its tasks. Returns true when it shows a change. */
    boolean replaceWith(Heartbeat heartbeat, Map<AttemptId, TaskStatus> listedTasks, long now) {
        boolean unchanged = heartbeat.incarnation() == incarnation
                && heartbeat.token() == token
                && interruptionNoticeS.isEmpty()
                && heartbeat.interruptionNoticeS().isEmpty()
                && listedTasks.equals(tasks);
        if (heartbeat.incarnation() != incarnation) {
            incarnationSince = now;
        }
        incarnation = heartbeat.incarnation();
        number = heartbeat.number();
        token = heartbeat.token();
        address = heartbeat.address();
        interruptionNoticeS = heartbeat.interruptionNoticeS();
        receivedAt = now;
        tasks = listedTasks;
        return !unchanged;
    }
}
