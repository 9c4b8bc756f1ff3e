package org.spoolline.reconcile;

/** Receives the names of machines whose orders change. */
@FunctionalInterface
public interface OrderListener {
    /** The next response to the machine's heartbeat has to carry new orders. */
    void ordersChanged(String machine);
}
