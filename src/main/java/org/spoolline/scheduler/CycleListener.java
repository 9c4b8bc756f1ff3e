package org.spoolline.scheduler;

import java.util.Set;

/** Receives the results of scheduling cycles that concern workers. Called on the event loop. */
public interface CycleListener {
    /** All live jobs were read under the present fencing token. */
    void jobsLoaded();

    /**
     * Orders may have changed while some writes are still pending.
     *
     * @param machines machines with new orders since the last call, possibly none
     */
    void ordersChanged(Set<String> machines);

    /**
     * Orders may have changed and no write is pending, so no further launch is to be expected before the next cycle.
     *
     * @param machines machines with new orders since the last call, possibly none
     */
    void ordersComplete(Set<String> machines);
}
