package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.reconcile.OrderListener;

/** Collects the names of machines that have new orders and passes them to the {@link CycleListener}. */
final class OrderNotifier implements OrderListener {
    private final CycleListener listener;
    private final Set<String> machinesWithNewOrders = new HashSet<>();

    OrderNotifier(CycleListener listener) {
        this.listener = listener;
    }

    /** Clears the machines of the previous term. */
    void clear() {
        machinesWithNewOrders.clear();
    }

    /** Records that the machine has new orders; the cycle listener is notified later. */
    @Override
    public void ordersChanged(String machine) {
        machinesWithNewOrders.add(machine);
    }

    /** Notifies the listener of new orders while writes may still be deferred or in flight. */
    void notifyOrdersChanged() {
        listener.ordersChanged(getAndClearMachines());
    }

    /** Notifies the listener of new orders when no write is deferred or in flight. */
    void notifyOrdersComplete() {
        listener.ordersComplete(getAndClearMachines());
    }

    private Set<String> getAndClearMachines() {
        Set<String> machines = new LinkedHashSet<>(machinesWithNewOrders);
        machinesWithNewOrders.clear();
        return machines;
    }
}
