package org.spoolline.api;

import java.util.function.Consumer;
import org.spoolline.peer.CancellationReply;

/** Notifies the leader of committed cancellations. */
public interface CancellationNotifier {
    /**
     * Notifies the leader that the job's cancellation is committed. {@code onReply} is called exactly once, possibly
     * before this method returns.
     */
    void notifyLeader(String jobId, Consumer<CancellationReply> onReply);
}
