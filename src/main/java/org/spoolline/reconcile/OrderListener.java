package org.spoolline.reconcile;

/** Is notified of the machines whose orders have changed. */
@FunctionalInterface
public interface OrderListener {
    /** Called when the orders for the machine have changed and are to be sent in the response to its next heartbeat. */
    void ordersChanged(String machine);
}
