package org.spoolline.cluster;

import java.util.List;
import java.util.OptionalDouble;

/**
 * A worker's heartbeat with the status of its tasks.
 *
 * @param machine the machine's name
 * @param address host and port at which the worker takes commands, or empty
 * @param type the name of the machine's type
 * @param zone the zone it runs in
 * @param spot true on a spot machine
 * @param incarnation from 0; a worker begins a new one when its lease has expired, and counts anew after a restart
 * @param number from 0, growing within an incarnation
 * @param token the highest token that the worker has seen
 * @param interruptionNoticeS seconds until the cloud takes the machine back, empty without such a notice
 * @param tasks the attempts that the worker holds, exited ones until they are cleared
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

    /** True when this one has the larger incarnation, or the larger number within the same one. */
    public boolean isNewerThan(long otherIncarnation, long otherNumber) {
        return incarnation > otherIncarnation || incarnation == otherIncarnation && number > otherNumber;
    }
}
