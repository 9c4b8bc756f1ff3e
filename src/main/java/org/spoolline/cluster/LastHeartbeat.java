package org.spoolline.cluster;

import java.util.Map;
import java.util.OptionalDouble;
import org.spoolline.pipeline.AttemptId;

/** The content of a machine's last heartbeat and its time of receipt; numbers are -1 before the first heartbeat. */
final class LastHeartbeat {
    private long receivedAt = -1;
    private String address = "";
    private long incarnation = -1;
    private long incarnationSince = -1;
    private long number = -1;
    private long token = -1;
    private OptionalDouble interruptionNoticeS = OptionalDouble.empty();
    private Map<AttemptId, TaskStatus> tasks = Map.of();

    /** Time of receipt in ms of the event loop's clock; -1 before the first heartbeat. */
    long receivedAt() {
        return receivedAt;
    }

    /** Host and port at which the worker accepts commands; empty if unknown. */
    String address() {
        return address;
    }

    long incarnation() {
        return incarnation;
    }

    /**
     * Time of receipt of the first heartbeat of its incarnation, in ms of the event loop's clock; -1 before the first.
     */
    long incarnationSince() {
        return incarnationSince;
    }

    long number() {
        return number;
    }

    /** The highest token that the worker had observed. */
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
     * True when the given heartbeat was sent after this one. The highest token that a worker has observed never
     * decreases, so a heartbeat with a lower token is from another run of the worker, before or after a restart, even
     * if its incarnation or number is higher.
     */
    boolean precedes(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(incarnation, number) && heartbeat.token() >= token;
    }

    /**
     * Replaces the content by that of a newer heartbeat. Returns true when a scheduling cycle has to evaluate it: the
     * incarnation, token or tasks differ, or either heartbeat has an interruption notice.
     *
     * @param listedTasks the newer heartbeat's tasks by attempt
     */
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
