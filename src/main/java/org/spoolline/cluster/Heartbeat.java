package org.spoolline.cluster;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A worker's heartbeat with the status of its tasks.
 *
 * @param machine the machine's name
 * @param address host and port at which the worker accepts commands; empty if unknown
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot true for a spot machine
 * @param incarnation number of the worker's incarnation, from 0; the worker increments it when its lease expires, and a
 *     restart resets it
 * @param number number of the heartbeat within its incarnation, from 0, increasing
 * @param token the highest token that the worker has observed
 * @param interruptionNoticeS seconds until the cloud reclaims the machine; empty without an interruption notice
 * @param tasks the worker's attempts; exited ones are listed until the leader orders to clear them
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long number,
        long token,
        OptionalDouble interruptionNoticeS,
        List<TaskStatus> tasks) {

    /** True when this heartbeat has a higher incarnation, or a higher number within the same incarnation. */
    public boolean isNewerThan(long otherIncarnation, long otherNumber) {
        return incarnation > otherIncarnation || incarnation == otherIncarnation && number > otherNumber;
    }
}
