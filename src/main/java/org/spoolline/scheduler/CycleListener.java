package org.spoolline.scheduler;

import java.util.Set;

/** Receives the results of scheduling cycles that affect workers. Its methods are called on the event loop. */
public interface CycleListener {
    /** Called when this leader has read all live jobs under its fencing token. */
    void jobsLoaded();

    /**
     * Called when orders for machines may have changed while writes are still deferred or in flight.
     *
     * @param machines names of the machines whose orders changed since the previous call of either method; may be empty
     */
    void ordersChanged(Set<String> machines);

    /**
     * Called when orders for machines may have changed and no write is deferred or in flight, so no further launch is
     * stored before the next cycle.
     *
     * @param machines names of the machines whose orders changed since the previous call of either method; may be empty
     */
    void ordersComplete(Set<String> machines);
}
