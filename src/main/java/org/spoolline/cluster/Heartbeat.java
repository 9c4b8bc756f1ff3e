package org.spoolline.cluster;

import java.util.List;

/** A worker's check-in. {@code interruptionNoticeS} is null, or the seconds until the cloud takes the machine. */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long number,
        long token,
        Double interruptionNoticeS,
        List<TaskStatus> tasks) {

    /** A report with the larger session, or the larger tick within it, is the newer one. */
    public boolean isNewerThan(long otherSession, long otherTick) {
        return incarnation > otherSession || incarnation == otherSession && number > otherTick;
    }
}
