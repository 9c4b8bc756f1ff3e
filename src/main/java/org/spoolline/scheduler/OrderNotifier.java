package org.spoolline.scheduler;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import org.spoolline.reconcile.OrderListener;

/** Collects the machines that have new orders and notifies the {@link CycleListener} of them. */
final class OrderNotifier implements OrderListener {
    private final CycleListener listener;
    private final Set<String> machinesWithNewOrders = new HashSet<>();

    OrderNotifier(CycleListener listener) {
        this.listener = listener;
    }

    /** Forgets the machines of an earlier term. */
    void clear() {
        machinesWithNewOrders.clear();
    }

    /** Records the machine; the cycle listener is notified later. */
    @Override
    public void ordersChanged(String machine) {
        machinesWithNewOrders.add(machine);
    }

    /** Notifies the listener while writes are pending. */
    void notifyOrdersChanged() {
        listener.ordersChanged(getAndClearMachines());
    }

    /** Notifies the listener after every decision was written. */
    void notifyOrdersComplete() {
        listener.ordersComplete(getAndClearMachines());
    }

    private Set<String> getAndClearMachines() {
        Set<String> machines = new LinkedHashSet<>(machinesWithNewOrders);
        machinesWithNewOrders.clear();
        return machines;
    }
}
